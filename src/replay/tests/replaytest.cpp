#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <unistd.h>

#include "exampletraces_p.h"

using namespace Galenarock;

namespace
{
std::string bytesOf(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream bytes;
    bytes << file.rdbuf();
    return std::move(bytes).str();
}

std::string written(const std::vector<TraceRecord> &records, const std::optional<PeerKey> &key = {})
{
    const auto path = ::testing::TempDir() + "galenarock-replay-" + std::to_string(getpid()) + ".trace";
    ExampleTraces::write(path, records, key);
    auto bytes = bytesOf(path);
    std::remove(path.c_str());
    return bytes;
}

std::vector<std::string> rulesOf(const std::vector<TraceRecord> &records)
{
    const auto report = checkTraces({TraceReader::readAll("t", written(records))});
    std::vector<std::string> rules;
    for (const auto &it : report.violations) {
        rules.emplace_back(it.rule);
    }
    return rules;
}

using Rules = std::vector<std::string>;
}

// Guards against a change of the encoding without a new format version, which would make stored traces unreadable.
// GALENAROCK_WRITE_TRACES=1 writes the files again after such a change.
TEST(Replay, committedTracesMatchTheFormat)
{
    const std::string directory = std::string(GALENAROCK_SOURCE_DIR) + "/traces/";
    if (std::getenv("GALENAROCK_WRITE_TRACES") != nullptr) {
        ExampleTraces::write(directory + "clean.trace", ExampleTraces::clean());
        ExampleTraces::write(directory + "violations.trace", ExampleTraces::violations());
    }
    EXPECT_EQ(bytesOf(directory + "clean.trace"), written(ExampleTraces::clean()));
    EXPECT_EQ(bytesOf(directory + "violations.trace"), written(ExampleTraces::violations()));
}

// Guards against records that lose a member when they are written and read.
TEST(Replay, recordsRoundTrip)
{
    const auto bytes = written(ExampleTraces::clean());
    const auto trace = TraceReader::readAll("t", bytes);
    EXPECT_EQ(toString(trace.findings), "");
    EXPECT_EQ(trace.header.daemon, ExampleTraces::header.daemon);
    ASSERT_EQ(trace.records.size(), ExampleTraces::clean().size() + 2);
    const std::vector<TraceRecord> inner(trace.records.begin() + 1, trace.records.end() - 1);
    EXPECT_EQ(written(inner), bytes);
    EXPECT_EQ(std::get<ObjectEvent>(std::get<EventRecord>(inner[1]).event).object.value["service"], "vitrina");
    EXPECT_EQ(std::get<DecisionAction>(std::get<ActionRecord>(inner[5]).action).event.name, "mandate-taken");
}

// Guards against a cut trace that is taken for a complete one, at any length.
TEST(Replay, everyCutIsReported)
{
    const auto bytes = written(ExampleTraces::clean());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const auto trace = TraceReader::readAll("t", bytes.substr(0, n));
        ASSERT_EQ(trace.findings.size(), 1u) << n;
        ASSERT_EQ(trace.findings[0].place.rfind("t: byte ", 0), 0u);
    }
    EXPECT_EQ(TraceReader::readAll("t", bytes + "x").findings.size(), 1u);
}

// Guards against an altered byte that goes unnoticed or makes the reader fail, with plain and keyed checksums.
TEST(Replay, everyAlteredByteIsReported)
{
    PeerKey key{};
    key.fill(9);
    for (const auto &it : {std::optional<PeerKey>(), std::optional<PeerKey>(key)}) {
        const auto bytes = written(ExampleTraces::clean(), it);
        EXPECT_TRUE(TraceReader::readAll("t", bytes, it).findings.empty());
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            auto altered = bytes;
            altered[n] = static_cast<char>(altered[n] ^ 0x20);
            ASSERT_EQ(TraceReader::readAll("t", altered, it).findings.size(), 1u) << n;
        }
    }
}

// Guards against records that are removed or exchanged whole, and against a keyed trace read without its key.
TEST(Replay, removedRecordsAndMissingKeysAreReported)
{
    const auto bytes = written(ExampleTraces::clean());
    const auto recordBytes = [&](std::size_t start) {
        return 4 + static_cast<unsigned char>(bytes[start]) + 256 * static_cast<unsigned char>(bytes[start + 1]) + 8;
    };
    const std::size_t second = 16 + recordBytes(16);
    auto removed = bytes;
    removed.erase(second, recordBytes(second));
    EXPECT_EQ(TraceReader::readAll("t", removed).findings.at(0).code, ErrorCode::BadMac);
    PeerKey key{};
    const auto keyed = written(ExampleTraces::clean(), key);
    EXPECT_EQ(TraceReader::readAll("t", keyed).findings.at(0).code, ErrorCode::BadMac);
    key[0] = 1;
    EXPECT_EQ(TraceReader::readAll("t", keyed, key).findings.at(0).code, ErrorCode::BadMac);
}

// Guards against a checker that misses a rule or reports a correct trial.
TEST(Replay, checkerFindsEachViolationOnce)
{
    EXPECT_EQ(rulesOf(ExampleTraces::clean()), Rules());
    const Rules expected{"not-run-ran", "one-outcome",  "owner-overlap",     "owner-overlap",
                         "ran-twice",   "version-fell", "work-after-leaving"};
    EXPECT_EQ(rulesOf(ExampleTraces::violations()), expected);
}

// Guards against two servers that run a key under the same token, and against a clock allowance without effect.
TEST(Replay, ownersAreToldApartByTokenAndTime)
{
    using namespace ExampleTraces;
    EXPECT_EQ(rulesOf({run(serverA, "a", 1, 10), run(serverB, "b", 1, 20)}), Rules{"owner-overlap"});
    EXPECT_EQ(rulesOf({run(serverB, "b", 2, 10), run(serverA, "a", 1, 20)}), Rules{"owner-overlap"});
    EXPECT_EQ(rulesOf({run(serverA, "a", 1, 10), run(serverB, "b", 2, 20)}), Rules());
    const auto trace = TraceReader::readAll("t", written({run(serverB, "b", 2, 10), run(serverA, "a", 1, 20)}));
    CheckOptions options;
    options.clockAllowance = milliseconds(15);
    EXPECT_TRUE(checkTraces({trace}, options).violations.empty());
}

// Guards against journals whose cut or dropped entries go unnoticed, and against runs without work being counted.
TEST(Replay, journals)
{
    const std::string entry = R"({"requestId":"i","key":"k","service":"s","server":"a","boot":3,"token":"1.2",)"
                              R"("startUs":5,"endUs":9,"state":"done"})";
    const std::string unfinished =
        R"({"requestId":"j","key":"k","server":"a","boot":3,"startUs":5,"endUs":9,"state":"incomplete"})";
    const std::string text = entry + "\n" + unfinished + "\n";
    const auto whole = readJournal("j", text + R"({"end":true,"entries":2,"dropped":0})" + "\n");
    EXPECT_EQ(toString(whole.findings), "");
    ASSERT_EQ(whole.records.size(), 1u);
    EXPECT_EQ(std::get<JournalRecord>(whole.records[0]).token, (Token{1, 2}));
    EXPECT_EQ(readJournal("j", text).findings.size(), 1u);
    EXPECT_EQ(readJournal("j", text + R"({"end":true,"entries":3,"dropped":0})").findings.size(), 1u);
    EXPECT_EQ(readJournal("j", text + R"({"end":true,"entries":2,"dropped":1})").findings.size(), 1u);
    EXPECT_EQ(readJournal("j", "{}\n{\n").findings.size(), 3u);
}

// Guards against a core whose actions depend on anything but the events.
TEST(Replay, coreActionsAreCompared)
{
    const auto trace = TraceReader::readAll("t", written(ExampleTraces::clean()));
    const auto step = [](bool isFaithful) {
        return [isFaithful](Instant, const ControlEvent &event) {
            ControlActions actions;
            if (std::holds_alternative<GrantReplyEvent>(event)) {
                actions.emplace_back(ReadObjectAction{{"assignment", "vitrina"}, CallPriority::Grant});
                actions.emplace_back(DecisionAction{
                    {301, Severity::Info, "mandate-taken"}, "vitrina", {}, isFaithful ? "epoch 1" : "epoch 2"});
            }
            return actions;
        };
    };
    EXPECT_TRUE(replayCore(trace, "ownership/vitrina", step(true)).empty());
    EXPECT_EQ(replayCore(trace, "ownership/vitrina", step(false)).at(0).place, "record 6");
    EXPECT_EQ(replayCore(trace, "membership", step(true)).size(), 1u);
}
