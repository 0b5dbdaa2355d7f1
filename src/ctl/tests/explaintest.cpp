#include <gtest/gtest.h>

#include <ctl/commands_p.h>
#include <ctl/explanationtext_p.h>

using namespace Galenarock;
using namespace Galenarock::Ctl;
using nlohmann::json;

namespace
{
CommandResult run(const std::vector<std::string> &operands, const HttpReply &reply, std::vector<HttpRequest> &calls)
{
    Context context;
    context.http = [&](const HttpRequest &request) {
        calls.push_back(request);
        return reply;
    };
    Arguments arguments;
    arguments.command = "explain";
    arguments.operands = operands;
    arguments.admin = {{"127.0.0.1", 9'901}};
    return runCommand(context, arguments);
}
}

// Guards against one command line that means different things to galenarockd and to a gateway.
TEST(CtlExplain, NumberOfOperandsTellsTheTwoFormsApart)
{
    std::vector<HttpRequest> calls;
    run({"vitrina", "k/1"}, {200, "{}", {}, true}, calls);
    run({"GET", "shop.example", "/a?b=c"}, {200, "{}", {}, true}, calls);
    run({"GET", "shop.example", "/a", "17"}, {200, "{}", {}, true}, calls);
    ASSERT_EQ(calls.size(), 3U);
    EXPECT_EQ(calls[0].target, "/explain?service=vitrina&key=k%2F1");
    EXPECT_EQ(calls[1].target, "/explain?method=GET&host=shop.example&path=%2Fa%3Fb%3Dc&key=");
    EXPECT_EQ(calls[2].target, "/explain?method=GET&host=shop.example&path=%2Fa&key=17");
    for (const auto &it : calls) {
        EXPECT_EQ(it.method, "GET");
    }
}

// Guards against running the command with operands that neither form has.
TEST(CtlExplain, TwoToFourOperandsAreTaken)
{
    const auto findings = [](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), "explain");
        arguments.insert(arguments.end(), {"--admin", "127.0.0.1:1"});
        return parseArguments(arguments, {}).findings.size();
    };
    EXPECT_EQ(findings({"a"}), 1U);
    EXPECT_EQ(findings({"a", "b"}), 0U);
    EXPECT_EQ(findings({"a", "b", "/", "17"}), 0U);
    EXPECT_EQ(findings({"a", "b", "/", "17", "18"}), 1U);
}

// Guards against text that leaves out why a server gets no request, and against a loss of the JSON with --json.
TEST(CtlExplain, TextNamesServersReasonAndAges)
{
    const json body = json::parse(R"({"daemon": "vm-1#5", "request": {"method": "GET", "host": "h", "path": "/a/1"},
        "configurationVersion": 12, "services": [{"service": "orders", "weight": 1, "sharePercent": 100.0,
        "keyed": false, "servers": 90, "openServers": 0, "omittedCandidates": 26, "candidates": [{"server": "o-1#7",
        "state": "ready", "open": false, "for": ["2 slots"], "against": ["wants no request from this VM for 5 ms more"]}],
        "outcome": {"decision": "refused", "status": 503, "reason": "server-paused", "freeInMs": 5}}],
        "inputs": [{"input": "configuration", "ageMs": 30}], "notIncluded": ["x"]})");
    std::vector<HttpRequest> calls;
    const auto result = run({"GET", "h", "/a/1"}, {200, body.dump(), {}, true}, calls);
    EXPECT_EQ(result.status, ExitStatus::Done);
    EXPECT_EQ(result.json["explanation"], body);
    for (const auto *it : {"- o-1#7  ready  for: 2 slots  against: wants no request from this VM for 5 ms more",
                           "26 more are not listed", "refused with 503 server-paused", "configuration: 30 ms"}) {
        EXPECT_NE(result.text.find(it), std::string::npos) << it << "\n" << result.text;
    }
}

// Guards against an exception on the answer of a daemon of another version.
TEST(CtlExplain, UnexpectedFieldsAreLeftOut)
{
    for (const auto *it : {R"({"request": 1})", R"({"request": {}, "services": 3, "inputs": "x", "route": []})",
                           R"({"request": {}, "services": [1, null, {"keyed": true, "owner": 4, "decisions": {}}]})",
                           R"({"request": null, "outcome": [], "notIncluded": {"a": {}}, "evacuatedDomains": 7})"}) {
        EXPECT_FALSE(explanationText(json::parse(it)).empty());
    }
    std::vector<HttpRequest> calls;
    EXPECT_EQ(run({"GET", "h", "/"}, {400, "{\"error\":\"x\"}", {}, true}, calls).status, ExitStatus::Failed);
}
