#include <algorithm>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include <galenarock.h>

using namespace Galenarock;
using nlohmann::json;

namespace
{
std::string exampleText(const std::string &service)
{
    std::ifstream file(std::string(GALENAROCK_SOURCE_DIR) + "/examples/" + service + ".json");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

json minimal()
{
    return {{"service", "vitrina"}, {"team", "torrefactos"}, {"distribution", "balanced"}};
}

bool hasFinding(const Findings &findings, ErrorCode code, const std::string &place)
{
    return std::any_of(findings.begin(), findings.end(),
                       [&](const Finding &it) { return it.code == code && it.place == place; });
}

bool contradicts(const json &patch, const std::string &place)
{
    auto document = minimal();
    document.merge_patch(patch);
    return hasFinding(parseDocument(document).findings, ErrorCode::Contradiction, place);
}
}

// Guards against examples that the parser refuses, and against fields that toJson() drops or renames.
TEST(Document, examplesRoundTrip)
{
    for (const char *it : {"vitrina", "tostadero", "almacen", "lamp-history", "job-desk", "report-bay"}) {
        const auto parsed = parseDocumentText(exampleText(it));
        EXPECT_EQ(toString(parsed.findings), "") << it;
        EXPECT_EQ(parsed.document.service, it);
        EXPECT_EQ(parseDocument(toJson(parsed.document)).document, parsed.document);
        EXPECT_TRUE(parseDocument(toJson(parsed.document)).findings.empty());
    }
}

// Guards against a parser whose defaults differ from those of the structs.
TEST(Document, absentFieldsTakeTheStructDefaults)
{
    ServiceDocument expected;
    expected.service = "vitrina";
    expected.team = "torrefactos";
    EXPECT_EQ(parseDocument(minimal()).document, expected);
}

// Guards against a parser that stops at the first defect, so that an operator needs one attempt for each.
TEST(Document, allDefectsAreReportedTogether)
{
    auto document = minimal();
    document["Team"] = 1;
    document.erase("team");
    document["retry"] = {{"budgetPercent", 120}, {"maxAttemps", 3}, {"hedgeAfterMs", "soon"}};
    document["pool"] = 7;
    document["requests"] = {{"class", "write"}, {"a/b~", 1}, {"idempotentMethods", {"get"}}};
    const auto findings = parseDocument(document).findings;
    EXPECT_TRUE(hasFinding(findings, ErrorCode::MissingField, "/team"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::UnknownField, "/Team"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "/retry/budgetPercent"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::UnknownField, "/retry/maxAttemps"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::WrongType, "/retry/hedgeAfterMs"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::WrongType, "/pool"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "/requests/class"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::UnknownField, "/requests/a~1b~0"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "/requests/idempotentMethods"));
    EXPECT_EQ(findings.size(), 9u) << toString(findings);
    EXPECT_NE(toString(findings).find("did you mean /retry/maxAttempts?"), std::string::npos);
}

// Guards against values that pass one by one although they contradict each other.
TEST(Document, contradictions)
{
    EXPECT_TRUE(contradicts({{"distribution", "keyed"}}, "/key"));
    EXPECT_TRUE(contradicts({{"key", {{"header", "X-Lamp"}, {"pathSegment", 1}}}}, "/key"));
    EXPECT_TRUE(
        contradicts({{"requests", {{"class", "order"}}}, {"retry", {{"hedgeAfterMs", 5}}}}, "/retry/hedgeAfterMs"));
    EXPECT_TRUE(
        contradicts({{"requests", {{"deadlineMs", 50}}}, {"retry", {{"hedgeAfterMs", 50}}}}, "/retry/hedgeAfterMs"));
    EXPECT_TRUE(contradicts({{"requests", {{"class", "order"}, {"idempotentMethods", {"POST"}}}}},
                            "/requests/idempotentMethods"));
    EXPECT_TRUE(contradicts({{"pool", {{"slots", 9}, {"connections", 8}}}}, "/pool/connections"));
    EXPECT_TRUE(contradicts({{"ownership", {{"termMs", 60000}, {"holdMs", 20000}}}}, "/ownership/holdMs"));
    EXPECT_TRUE(contradicts({{"weights", {{"imbalance", 0}, {"churn", 0}, {"unavailableTime", 0}}}}, "/weights"));
    EXPECT_FALSE(contradicts({{"key", {{"header", "X-Lamp"}}}}, "/key"));
}

// Guards against a contradiction reported from a default that stands in for a value that was refused.
TEST(Document, refusedValuesCauseNoFurtherContradiction)
{
    auto document = minimal();
    document["distribution"] = "keyed";
    document["key"] = {{"pathSegment", "first"}};
    const auto findings = parseDocument(document).findings;
    ASSERT_EQ(findings.size(), 1u) << toString(findings);
    EXPECT_EQ(findings[0].place, "/key/pathSegment");
}

// Guards against syntax errors without a usable place, and against duplicate fields that silently merge.
TEST(Document, syntaxErrorsHaveLineAndColumn)
{
    const auto broken = parseDocumentText("{\n  \"service\": ,\n}").findings;
    ASSERT_EQ(broken.size(), 1u);
    EXPECT_EQ(broken[0].code, ErrorCode::MalformedJson);
    EXPECT_EQ(broken[0].place, "2:14");
    EXPECT_EQ(parseDocumentText("{\"a\": 1e999}").findings.at(0).code, ErrorCode::MalformedJson);
    EXPECT_EQ(parseDocumentText("").findings.size(), 1u);
    EXPECT_EQ(parseDocumentText("[]").findings.at(0).code, ErrorCode::WrongType);
    EXPECT_EQ(parseDocumentText(std::string(100'000, '[')).findings.at(0).code, ErrorCode::OutOfRange);
    const auto twice = parseDocumentText("{\"pool\":{\"slots\":1,\"slots\":2}}").findings;
    EXPECT_TRUE(hasFinding(twice, ErrorCode::Contradiction, "/pool/slots"));
}

// Guards against integers beyond 64 bits or fractions that wrap or round silently.
TEST(Document, numbersDoNotWrap)
{
    for (const char *it : {"-1", "18446744073709551615", "1e30", "2.5", "4294967297"}) {
        auto document = minimal();
        document["pool"] = {{"slots", json::parse(it)}};
        EXPECT_FALSE(parseDocument(document).findings.empty()) << it;
    }
}

// Guards against a difference that hides added or removed fields.
TEST(Document, difference)
{
    const auto before = json::parse(R"({"retry":{"maxAttempts":3},"old":1,"same":[1]})");
    const auto after = json::parse(R"({"retry":{"maxAttempts":5},"new":"x","same":[1]})");
    const std::vector<std::string> expected{"/new: absent -> \"x\"", "/old: 1 -> absent", "/retry/maxAttempts: 3 -> 5"};
    EXPECT_EQ(documentDifference(before, after), expected);
    EXPECT_TRUE(documentDifference(after, after).empty());
}
