#include <deque>

#include <gtest/gtest.h>

#include <ctl/commands_p.h>
#include <galenarock.h>

using namespace Galenarock;
using namespace Galenarock::Ctl;
using nlohmann::json;

namespace
{
/// Fault that the fake platform injects into a write.
enum class Fault : std::uint8_t
{
    None,
    /// The write takes effect, but its response is lost.
    LoseResponse,
    /// The request is lost: the write takes no effect and gets no response.
    LoseRequest,
    Unavailable,
};

/// In-memory version of the platform's object API (docs/design.md, section 6.1).
struct FakePlatform
{
    std::map<std::string, json> objects;
    /// Faults for the next writes, one each.
    std::deque<Fault> faults;
    /// Called once before the next write, to make a concurrent edit.
    std::function<void()> beforeWrite;
    std::vector<HttpRequest> writes;

    void store(const std::string &path, const json &value, const std::string &writer)
    {
        const auto version = objects.count(path) == 0 ? 0 : objects[path]["version"].get<int>();
        objects[path] = {{"version", version + 1}, {"writer", writer}, {"value", value}};
    }

    HttpReply call(const HttpRequest &request)
    {
        const auto path = request.target.substr(std::string("/v1/objects/").size());
        if (request.method == "GET") {
            return objects.count(path) == 0 ? HttpReply{404, "{}", {}, true}
                                            : HttpReply{200, objects[path].dump(), {}, true};
        }
        return put(path, request);
    }

    HttpReply put(const std::string &path, const HttpRequest &request)
    {
        writes.push_back(request);
        if (auto edit = std::exchange(beforeWrite, nullptr)) {
            edit();
        }
        const auto fault = faults.empty() ? Fault::None : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        if (fault == Fault::Unavailable) {
            return {503, R"({"error":"unavailable"})", {}, true};
        }
        if (fault == Fault::LoseRequest) {
            return {0, {}, "connection reset", true};
        }
        const auto body = json::parse(request.body);
        const auto version = objects.count(path) == 0 ? json(0) : objects[path]["version"];
        if (body["expectedVersion"] != version) {
            const json current = objects.count(path) == 0 ? json() : objects[path];
            return {409, json{{"error", "conflict"}, {"current", current}}.dump(), {}, true};
        }
        store(path, body["value"], body["writer"]);
        if (fault == Fault::LoseResponse) {
            return {0, {}, "connection reset", true};
        }
        return {200, json{{"version", objects[path]["version"]}}.dump(), {}, true};
    }
};

struct CtlTest : ::testing::Test
{
    CtlTest()
    {
        context.http = [this](const HttpRequest &request) {
            return platform.call(request);
        };
        context.nonce = [this] {
            return ++lastNonce;
        };
        context.sleepFor = [](milliseconds) {
        };
        context.now = [] {
            return WallMilliseconds(1'764'825'000'000);
        };
        context.readFile = [this](const std::string &path) -> Result<std::string> {
            return files.at(path);
        };
    }

    CommandResult run(const std::string &command, const std::string &operand, std::optional<std::uint64_t> expect = {})
    {
        Arguments arguments;
        arguments.command = command;
        arguments.operands = {operand};
        arguments.platform = {"127.0.0.1", 1};
        arguments.expect = expect;
        return runCommand(context, arguments);
    }

    static std::string document(int attempts)
    {
        return json{{"service", "tostadero"},
                    {"team", "torrefactos"},
                    {"distribution", "balanced"},
                    {"retry", {{"maxAttempts", attempts}}}}
            .dump();
    }

    const std::string path = "service/tostadero";
    FakePlatform platform;
    Context context;
    std::map<std::string, std::string> files{{"a", document(2)}, {"b", document(4)}, {"bad", "{\"team\":1}"}};
    std::uint64_t lastNonce = 100;
};
}

// Guards against a put that does not report the version, send the team or add the history entry.
TEST_F(CtlTest, putCreatesUpdatesAndRecords)
{
    EXPECT_EQ(run("put", "a").status, ExitStatus::Done);
    EXPECT_EQ(platform.writes.at(0).team, "torrefactos");
    const auto result = run("put", "b");
    EXPECT_EQ(result.status, ExitStatus::Done);
    EXPECT_EQ(result.json["version"], 2);
    EXPECT_NE(result.text.find("/retry/maxAttempts: 2 -> 4"), std::string::npos) << result.text;
    EXPECT_EQ(run("put", "b").json["status"], "unchanged");
    const auto history = run("history", "tostadero");
    ASSERT_EQ(history.json["entries"].size(), 2u);
    EXPECT_EQ(history.json["entries"][1]["document"], json::parse(document(4)));
    EXPECT_NE(history.text.find("version 2  2025-12-04T05:10:00Z  torrefactos\n  /retry/maxAttempts: 2 -> 4"),
              std::string::npos)
        << history.text;
}

// Guards against sending an invalid document to the platform.
TEST_F(CtlTest, invalidDocumentsAreNotSent)
{
    const auto result = run("put", "bad");
    EXPECT_EQ(result.status, ExitStatus::Refused);
    EXPECT_GE(result.json["findings"].size(), 3u);
    EXPECT_TRUE(platform.writes.empty());
    EXPECT_EQ(run("check", "bad").status, ExitStatus::Refused);
    EXPECT_EQ(run("check", "a").status, ExitStatus::Done);
}

// Guards against a put that overwrites a concurrent edit, or reports the conflict without the differences.
TEST_F(CtlTest, concurrentEditIsAConflictWithDifferences)
{
    run("put", "a");
    platform.beforeWrite = [this] {
        platform.store(path, json::parse(document(9)), "7");
    };
    const auto result = run("put", "b");
    EXPECT_EQ(result.status, ExitStatus::Conflict);
    EXPECT_NE(result.text.find("another operator was faster"), std::string::npos);
    EXPECT_NE(result.text.find("/retry/maxAttempts: 9 -> 4"), std::string::npos) << result.text;
    EXPECT_EQ(platform.objects[path]["version"], 2);
    EXPECT_EQ(run("put", "b", 1).status, ExitStatus::Conflict);
    EXPECT_EQ(run("put", "b", 2).status, ExitStatus::Done);
}

// Guards against a put that fails or stores a second version because a response was lost.
TEST_F(CtlTest, lostResponsesAreResolvedByTheWriterNonce)
{
    platform.faults = {Fault::LoseResponse};
    EXPECT_EQ(run("put", "a").json["version"], 1);
    platform.faults = {Fault::LoseRequest, Fault::LoseRequest};
    EXPECT_EQ(run("put", "b").json["version"], 2);
    EXPECT_EQ(platform.objects[path]["version"], 2);
}

// Guards against reporting success or failure while an update without a response may still take effect.
TEST_F(CtlTest, undecidableUpdatesAreReportedAsUnknown)
{
    platform.faults.assign(20, Fault::LoseRequest);
    EXPECT_EQ(run("put", "a").status, ExitStatus::Unknown);
    platform.faults = {Fault::LoseRequest};
    platform.beforeWrite = [this] {
        platform.store(path, json::parse(document(8)), "7");
        platform.store(path, json::parse(document(9)), "8");
    };
    EXPECT_EQ(run("put", "b", 0).status, ExitStatus::Unknown);
    platform.faults = {Fault::LoseRequest};
    platform.beforeWrite = [this] {
        platform.store(path, json::parse(document(3)), "9");
    };
    EXPECT_EQ(run("put", "b").status, ExitStatus::Conflict);
}

// Guards against reporting an unknown outcome when the platform rejected the write with 503.
TEST_F(CtlTest, rejectedWriteIsAFailure)
{
    platform.faults = {Fault::Unavailable};
    const auto result = run("put", "a");
    EXPECT_EQ(result.status, ExitStatus::Failed);
    EXPECT_NE(result.text.find("unavailable"), std::string::npos);
    EXPECT_EQ(run("get", "tostadero").status, ExitStatus::Failed);
}

// Guards against a history object that grows until it exceeds the platform's size limit.
TEST_F(CtlTest, historyKeepsTheLastFiftyVersions)
{
    for (int n = 0; n < 60; ++n) {
        ASSERT_EQ(run("put", n % 2 == 0 ? "a" : "b").status, ExitStatus::Done);
    }
    const auto entries = run("history", "tostadero").json["entries"];
    ASSERT_EQ(entries.size(), maxHistoryEntries);
    EXPECT_EQ(entries.front()["version"], 11);
    EXPECT_EQ(entries.back()["version"], 60);
}

// Guards against an exit status of `diff` by which a script cannot tell whether the documents differ.
TEST_F(CtlTest, diffExitStatusShowsDifferences)
{
    run("put", "a");
    EXPECT_EQ(run("diff", "a").status, ExitStatus::Done);
    EXPECT_EQ(run("diff", "b").status, documentsDiffer);
}

// Guards against running a command with missing or invalid operands, options or addresses.
TEST(CtlArguments, invalidArgumentsAreReported)
{
    EXPECT_EQ(parseArguments({}, {}).findings.size(), 1u);
    EXPECT_EQ(parseArguments({"put"}, {}).findings.size(), 2u);
    EXPECT_EQ(parseArguments({"get", "x", "--platform=host:1"}, {}).findings.size(), 1u);
    EXPECT_EQ(parseArguments({"status", "--expect", "3", "--admin", "127.0.0.1:1"}, {}).findings.size(), 1u);
    EXPECT_EQ(parseArguments({"erase", "x"}, {}).findings.at(0).code, ErrorCode::UnknownField);
    const auto parsed = parseArguments({"put", "f", "--expect=0"}, {{"GALENAROCK_PLATFORM", "127.0.0.1:9"}});
    EXPECT_TRUE(parsed.findings.empty());
    EXPECT_EQ(parsed.arguments.expect, 0u);
}

// Guards against looking up a wrong key because '/', '&' or '%' in it changes the request target.
TEST(CtlHttp, reservedCharactersAreEncoded)
{
    EXPECT_EQ(percentEncoded("a/b&c%d e-_.~"), "a%2Fb%26c%25d%20e-_.~");
}
