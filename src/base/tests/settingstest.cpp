#include <algorithm>
#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>

#include <galenarock/settings.h>

using namespace Galenarock;

namespace
{
const std::string goodKey = std::string(62, '0') + "a1";

std::vector<std::string> goodFlags()
{
    return {"--name",         "vm-1",       "--failure-domain=rioja", "--listen",
            "127.0.0.1:8080", "--peer",     "127.0.0.1:8081",         "--admin",
            "[::1]:0",        "--platform", "127.0.0.1:9000",         "--peer-key",
            goodKey};
}

bool hasFinding(const Findings &findings, ErrorCode code, const std::string &place)
{
    return std::any_of(findings.begin(), findings.end(),
                       [&](const Finding &it) { return it.code == code && it.place == place; });
}
}

// Guards against complete settings being refused or a flag that lands in the wrong member.
TEST(Settings, completeFlagsAreAccepted)
{
    const auto parsed = parseSettings(goodFlags(), {});
    EXPECT_EQ(toString(parsed.findings), "");
    EXPECT_EQ(parsed.settings.name, "vm-1");
    EXPECT_EQ(parsed.settings.failureDomain, "rioja");
    EXPECT_EQ(parsed.settings.listen, (Endpoint{"127.0.0.1", 8080}));
    EXPECT_EQ(parsed.settings.admin, (Endpoint{"::1", 0}));
    EXPECT_EQ(parsed.settings.peerKey.back(), 0xa1);
    EXPECT_EQ(parsed.settings.stopNoticeMs, 2'000);
    EXPECT_FALSE(settingsExitStatus(parsed));
}

// Guards against a variable that overrides its flag, or that is not read at all.
TEST(Settings, flagsOverrideVariables)
{
    const Environment environment{{"GALENAROCK_NAME", "other"}, {"GALENAROCK_WORKERS", "7"}, {"HOME", "/"}};
    const auto parsed = parseSettings(goodFlags(), environment);
    EXPECT_EQ(toString(parsed.findings), "");
    EXPECT_EQ(parsed.settings.name, "vm-1");
    EXPECT_EQ(parsed.settings.workers, 7u);
}

// Guards against a gateway that does not start on a platform that states no limits, or ignores those that it states.
TEST(Settings, emptyLimitsKeepTheirDefaults)
{
    auto flags = goodFlags();
    flags.insert(flags.end(), {"--memory-mb=", "--max-descriptors="});
    const auto empty = parseSettings(flags, {});
    EXPECT_EQ(toString(empty.findings), "");
    EXPECT_EQ(empty.settings.memoryMb, Settings().memoryMb);
    EXPECT_EQ(empty.settings.maxDescriptors, Settings().maxDescriptors);
    flags = goodFlags();
    flags.insert(flags.end(), {"--memory-mb=120", "--max-descriptors=3075"});
    const auto given = parseSettings(flags, {});
    EXPECT_EQ(toString(given.findings), "");
    EXPECT_EQ(given.settings.memoryMb, 120);
    EXPECT_EQ(given.settings.maxDescriptors, 3'075);
}

// Guards against reporting only the first defect, which costs one start for each.
TEST(Settings, allDefectsAreReportedTogether)
{
    const Environment environment{{"GALENAROCK_WORKERS", "0"}, {"GALENAROCK_WORKER", "1"}};
    const auto findings = parseSettings({"--name", "a#b", "--listen", "localhost:80", "--lisen", "x", "extra",
                                         "--log-level", "loud", "--peer-key", "abc", "--stop-notice-ms", "9",
                                         "--stop-deadline-ms", "9", "--name", "c", "--help=1", "--admin"},
                                        environment)
                              .findings;
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "--name"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::Contradiction, "--name"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "--listen"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::UnknownField, "--lisen"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::UnknownField, "extra"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "--log-level"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "--peer-key"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::Contradiction, "--stop-deadline-ms"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::MissingField, "--help"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::MissingField, "--admin"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::MissingField, "--platform"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::MissingField, "--peer"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::OutOfRange, "GALENAROCK_WORKERS"));
    EXPECT_TRUE(hasFinding(findings, ErrorCode::UnknownField, "GALENAROCK_WORKER"));
    // "x" after the unknown flag is reported as well.
    EXPECT_LE(findings.size(), 18u) << toString(findings);
}

// Guards against two listeners on one address, which fails only when the daemon starts.
TEST(Settings, addressesMustDiffer)
{
    auto flags = goodFlags();
    flags.insert(flags.end(), {"--trace", "t.bin"});
    std::replace(flags.begin(), flags.end(), std::string("[::1]:0"), std::string("127.0.0.1:8080"));
    EXPECT_TRUE(hasFinding(parseSettings(flags, {}).findings, ErrorCode::Contradiction, "--admin"));
}

// Guards against a key that appears in a message, an unread key file, and two keys of which one is silently ignored.
TEST(Settings, peerKeyFromFile)
{
    const auto path = ::testing::TempDir() + "galenarock-peer-key";
    std::ofstream(path) << goodKey << "\n";
    auto flags = goodFlags();
    flags.erase(flags.end() - 2, flags.end());
    EXPECT_TRUE(hasFinding(parseSettings(flags, {}).findings, ErrorCode::MissingField, "--peer-key"));
    flags.push_back("--peer-key-file=" + path);
    const Environment environment{{"GALENAROCK_PEER_KEY", std::string(64, 'b')}};
    const auto parsed = parseSettings(flags, environment);
    EXPECT_EQ(toString(parsed.findings), "");
    EXPECT_EQ(parsed.settings.peerKey.back(), 0xa1);
    flags.push_back("--peer-key=" + goodKey.substr(1) + "z");
    const auto findings = parseSettings(flags, {}).findings;
    EXPECT_TRUE(hasFinding(findings, ErrorCode::Contradiction, "--peer-key-file"));
    EXPECT_EQ(toString(findings).find("a1z"), std::string::npos);
    std::remove(path.c_str());
}

// Guards against host names, missing brackets and port overflow being taken for addresses.
TEST(Settings, endpoints)
{
    for (const char *it : {"127.0.0.1:80", "[fe80::1]:9"}) {
        ASSERT_TRUE(parseEndpoint(it)) << it;
        EXPECT_EQ(toString(*parseEndpoint(it)), it);
    }
    for (const char *it : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", "host:80", "[]:1", "1:x"}) {
        EXPECT_FALSE(parseEndpoint(it)) << it;
    }
}

// Guards against a daemon that does not start where the platform has no value for these flags and leaves them empty.
TEST(Settings, emptyAmountsAreOff)
{
    auto flags = goodFlags();
    flags.insert(flags.end(), {"--warmup-overshoot=", "--warmup-slack="});
    const auto empty = parseSettings(flags, {});
    EXPECT_EQ(toString(empty.findings), "");
    EXPECT_EQ(empty.settings.warmupOvershoot, 0);
    EXPECT_EQ(empty.settings.warmupSlack, 0);
    auto given = goodFlags();
    given.insert(given.end(), {"--warmup-overshoot=1.5", "--warmup-slack=8"});
    const auto parsed = parseSettings(given, {});
    EXPECT_EQ(toString(parsed.findings), "");
    EXPECT_EQ(parsed.settings.warmupOvershoot, 1.5);
    EXPECT_EQ(parsed.settings.warmupSlack, 8);
    given.back() = "--warmup-slack=much";
    EXPECT_TRUE(hasFinding(parseSettings(given, {}).findings, ErrorCode::OutOfRange, "--warmup-slack"));
}

// Guards against a gateway that does not start where the platform leaves the flag empty, and against a way that is
// misspelt and silently taken for the default.
TEST(Settings, slowStartIsLinearUnlessAnswersAreGiven)
{
    EXPECT_EQ(parseSettings(goodFlags(), {}).settings.slowStart, SlowStart::Linear);
    auto flags = goodFlags();
    flags.emplace_back();
    for (const char *it : {"--slow-start=", "--slow-start=linear", "--slow-start=answers"}) {
        flags.back() = it;
        const auto parsed = parseSettings(flags, {});
        EXPECT_EQ(toString(parsed.findings), "");
        EXPECT_EQ(parsed.settings.slowStart == SlowStart::Answers, flags.back() == "--slow-start=answers");
    }
    flags.back() = "--slow-start=answer";
    EXPECT_TRUE(hasFinding(parseSettings(flags, {}).findings, ErrorCode::OutOfRange, "--slow-start"));
}

// The platform fills in the bound, which not every deployment has. Guards against a gateway that does not start without
// it, and against an empty value that passes for another setting.
TEST(Settings, emptyEvacuationBoundIsOff)
{
    auto flags = goodFlags();
    flags.push_back("--evacuation-ms=");
    const auto empty = parseSettings(flags, {});
    EXPECT_EQ(toString(empty.findings), "");
    EXPECT_EQ(empty.settings.evacuationMs, 0);
    flags.back() = "--evacuation-ms=5000";
    EXPECT_EQ(parseSettings(flags, {}).settings.evacuationMs, 5'000);
    flags.back() = "--evacuation-ms=-1";
    EXPECT_FALSE(parseSettings(flags, {}).findings.empty());
    EXPECT_EQ(toString(parseSettings(goodFlags(), {{"GALENAROCK_EVACUATION_MS", ""}}).findings), "");
    flags.back() = "--workers=";
    EXPECT_FALSE(parseSettings(flags, {}).findings.empty());
}
