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
std::string readBytes(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream bytes;
    bytes << file.rdbuf();
    return std::move(bytes).str();
}

std::string writtenBytes(const std::vector<TraceRecord> &records, const std::optional<PeerKey> &key = {})
{
    const auto path = ::testing::TempDir() + "galenarock-replay-" + std::to_string(getpid()) + ".trace";
    ExampleTraces::write(path, records, key);
    auto bytes = readBytes(path);
    std::remove(path.c_str());
    return bytes;
}

std::vector<std::string> rulesOf(const std::vector<TraceRecord> &records)
{
    const auto report = checkTraces({TraceReader::readAll("t", writtenBytes(records))});
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
    EXPECT_EQ(readBytes(directory + "clean.trace"), writtenBytes(ExampleTraces::clean()));
    EXPECT_EQ(readBytes(directory + "violations.trace"), writtenBytes(ExampleTraces::violations()));
}

// Guards against records that lose a member when they are written and read.
TEST(Replay, recordsRoundTrip)
{
    const auto bytes = writtenBytes(ExampleTraces::clean());
    const auto trace = TraceReader::readAll("t", bytes);
    EXPECT_EQ(toString(trace.findings), "");
    EXPECT_EQ(trace.header.daemon, ExampleTraces::header.daemon);
    ASSERT_EQ(trace.records.size(), ExampleTraces::clean().size() + 2);
    const std::vector<TraceRecord> inner(trace.records.begin() + 1, trace.records.end() - 1);
    EXPECT_EQ(writtenBytes(inner), bytes);
    EXPECT_EQ(std::get<ObjectEvent>(std::get<EventRecord>(inner[1]).event).object.value["service"], "vitrina");
    EXPECT_EQ(std::get<DecisionAction>(std::get<ActionRecord>(inner[5]).action).event.name, "mandate-taken");
}

// Guards against a trace cut at any byte being read as a complete one.
TEST(Replay, everyCutIsReported)
{
    const auto bytes = writtenBytes(ExampleTraces::clean());
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
        const auto bytes = writtenBytes(ExampleTraces::clean(), it);
        EXPECT_TRUE(TraceReader::readAll("t", bytes, it).findings.empty());
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            auto altered = bytes;
            altered[n] = static_cast<char>(altered[n] ^ 0x20);
            ASSERT_EQ(TraceReader::readAll("t", altered, it).findings.size(), 1u) << n;
        }
    }
}

// Guards against a removed record that goes unnoticed, and against a keyed trace being read without its key.
TEST(Replay, removedRecordsAndMissingKeysAreReported)
{
    const auto bytes = writtenBytes(ExampleTraces::clean());
    const auto recordBytes = [&](std::size_t start) {
        return 4 + static_cast<unsigned char>(bytes[start]) + 256 * static_cast<unsigned char>(bytes[start + 1]) + 8;
    };
    const std::size_t second = 16 + recordBytes(16);
    auto removed = bytes;
    removed.erase(second, recordBytes(second));
    EXPECT_EQ(TraceReader::readAll("t", removed).findings.at(0).code, ErrorCode::BadMac);
    PeerKey key{};
    const auto keyed = writtenBytes(ExampleTraces::clean(), key);
    EXPECT_EQ(TraceReader::readAll("t", keyed).findings.at(0).code, ErrorCode::BadMac);
    key[0] = 1;
    EXPECT_EQ(TraceReader::readAll("t", keyed, key).findings.at(0).code, ErrorCode::BadMac);
}

// Guards against a checker that misses a broken rule or reports a violation in a correct trace.
TEST(Replay, checkerFindsEachViolationOnce)
{
    EXPECT_EQ(rulesOf(ExampleTraces::clean()), Rules());
    const Rules expected{"not-run-ran", "one-outcome",  "owner-overlap",     "owner-overlap",
                         "ran-twice",   "version-fell", "work-after-leaving"};
    EXPECT_EQ(rulesOf(ExampleTraces::violations()), expected);
}

// Guards against missed violations when two servers run a key under the same token or the former owner runs after the
// new one, and against a clock allowance without effect.
TEST(Replay, overlappingOwnersAreFoundByTokenAndTime)
{
    using namespace ExampleTraces;
    EXPECT_EQ(rulesOf({run(serverA, "a", 1, 10), run(serverB, "b", 1, 20)}), Rules{"owner-overlap"});
    EXPECT_EQ(rulesOf({run(serverB, "b", 2, 10), run(serverA, "a", 1, 20)}), Rules{"owner-overlap"});
    EXPECT_EQ(rulesOf({run(serverA, "a", 1, 10), run(serverB, "b", 2, 20)}), Rules());
    const auto trace = TraceReader::readAll("t", writtenBytes({run(serverB, "b", 2, 10), run(serverA, "a", 1, 20)}));
    CheckOptions options;
    options.clockAllowance = milliseconds(15);
    EXPECT_TRUE(checkTraces({trace}, options).violations.empty());
}

// Guards against runs without an id being matched with a refused request that has no id either.
TEST(Replay, runsWithoutIdMatchNoRequest)
{
    using namespace ExampleTraces;
    const AcceptedRecord accepted{at(1), 1, "", "vitrina", "sku-1", true};
    const OutcomeRecord refused{at(2), 1, {}, "", Outcome::NotRun, Reason::QueueFull};
    EXPECT_EQ(rulesOf({accepted, refused, run(serverA, "", 1, 10), run(serverA, "", 1, 11)}), Rules());
}

// Guards against missing or dropped journal entries that go unnoticed, and against requests without a complete body
// being counted as runs.
TEST(Replay, missingAndDroppedJournalEntriesAreReported)
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

// Guards against core actions that differ from the recorded ones without being reported.
TEST(Replay, differingCoreActionsAreReported)
{
    const auto trace = TraceReader::readAll("t", writtenBytes(ExampleTraces::clean()));
    const auto step = [](bool matchesTrace) {
        return [matchesTrace](Instant, const ControlEvent &event) {
            ControlActions actions;
            if (std::holds_alternative<GrantReplyEvent>(event)) {
                actions.emplace_back(ReadObjectAction{{"assignment", "vitrina"}, CallPriority::Grant});
                actions.emplace_back(DecisionAction{
                    {301, Severity::Info, "mandate-taken"}, "vitrina", {}, matchesTrace ? "epoch 1" : "epoch 2"});
            }
            return actions;
        };
    };
    EXPECT_TRUE(replayCore(trace, "ownership/vitrina", step(true)).empty());
    EXPECT_EQ(replayCore(trace, "ownership/vitrina", step(false)).at(0).place, "record 6");
    EXPECT_EQ(replayCore(trace, "membership", step(true)).size(), 1u);
}
