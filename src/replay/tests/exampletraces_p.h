#pragma once

#include <galenarock/replay.h>

/// Records of the traces in traces/. The tests encode them and compare the bytes with the committed files.
namespace Galenarock::ExampleTraces
{

inline const TraceHeader header{7, {"vm-1", 11}, Instant(seconds(100)), 1'764'825'000'000};
inline const Identity serverA{"vitrina-1", 21};
inline const Identity serverB{"vitrina-2", 22};

inline Instant at(int ms)
{
    return header.startedAt + milliseconds(ms);
}

inline JournalRecord run(const Identity &server, const std::string &id, std::uint64_t sequence, int ms)
{
    return {server, "vitrina", id, "sku-1", {1, sequence}, at(ms), at(ms + 5)};
}

inline VmListEvent vmList(std::uint64_t revision, VmState firstState)
{
    return {{revision,
             {{"vitrina-1", VmRole::Backend, "vitrina", "rioja", "127.0.0.1:1", "", firstState},
              {"vitrina-2", VmRole::Backend, "vitrina", "navarra", "127.0.0.1:2", "", VmState::Live}}}};
}

inline GrantReplyEvent grantReply()
{
    GrantRequest request{"vitrina", {"vm-1", 11}, 21, 1, 5, 1'500, GrantAction::Renew, {}};
    GrantReply reply{21, 1, 6, true, "", ServerState::Ready, 0, {{{0, ~KeyHash(0)}, 1}}};
    return {"vitrina-1", request, at(1), reply};
}

/// A correct trace: a key moves from a server that leaves to another server.
inline std::vector<TraceRecord> clean()
{
    const ObjectKey object{"service", "vitrina"};
    return {
        EventRecord{at(0), vmList(1, VmState::Live)},
        EventRecord{at(1), ObjectEvent{{object, 1, 9, {{"service", "vitrina"}}}, true}},
        ConfigurationRecord{at(1), "vitrina", 1},
        EventRecord{at(2), grantReply()},
        ActionRecord{at(2), "ownership/vitrina", ReadObjectAction{{"assignment", "vitrina"}, CallPriority::Grant}},
        ActionRecord{at(2), "ownership/vitrina",
                     DecisionAction{{301, Severity::Info, "mandate-taken"}, "vitrina", {}, "epoch 1"}},
        HoldRecord{serverA, "vitrina", {}, {1, 1}, at(2), at(900)},
        AcceptedRecord{at(10), 1, "id-1", "vitrina", "sku-1", true},
        run(serverA, "id-1", 1, 11),
        OutcomeRecord{at(17), 1, {1, 1}, "vitrina-1", Outcome::Answered, Reason::None},
        AcceptedRecord{at(20), 2, "id-2", "vitrina", "sku-1", false},
        OutcomeRecord{at(21), 2, {}, "", Outcome::NotRun, Reason::OwnerUnavailable},
        EventRecord{at(500), vmList(2, VmState::Leaving)},
        HoldRecord{serverB, "vitrina", {}, {1, 2}, at(900), at(5'000)},
        AcceptedRecord{at(950), 3, "id-2", "vitrina", "sku-1", false},
        run(serverB, "id-2", 2, 951),
        OutcomeRecord{at(960), 3, {1, 2}, "vitrina-2", Outcome::Answered, Reason::None},
        ConfigurationRecord{at(970), "vitrina", 2},
        EventRecord{at(980), StopEvent{}},
    };
}

/// The correct trace with records appended that break each rule of the checker.
inline std::vector<TraceRecord> violations()
{
    auto records = clean();
    const std::vector<TraceRecord> faults{
        HoldRecord{serverA, "vitrina", {}, {1, 1}, at(901), at(1'000)},
        AcceptedRecord{at(1'000), 4, "id-4", "vitrina", "sku-1", true},
        OutcomeRecord{at(1'001), 4, {}, "", Outcome::NotRun, Reason::QueueFull},
        run(serverB, "id-4", 2, 1'002),
        AcceptedRecord{at(1'010), 5, "id-5", "vitrina", "sku-1", true},
        AcceptedRecord{at(1'020), 6, "id-6", "vitrina", "sku-2", false},
        run(serverB, "id-6", 2, 1'021),
        run(serverB, "id-6", 2, 1'030),
        OutcomeRecord{at(1'040), 6, {}, "vitrina-2", Outcome::Unknown, Reason::ConnectionLost},
        ConfigurationRecord{at(1'050), "vitrina", 1},
        AcceptedRecord{at(2'500), 7, "id-7", "vitrina", "sku-1", true},
        run(serverA, "id-7", 1, 2'501),
        OutcomeRecord{at(2'510), 7, {1, 1}, "vitrina-1", Outcome::Answered, Reason::None},
    };
    records.insert(records.end(), faults.begin(), faults.end());
    return records;
}

inline void write(const std::string &path, const std::vector<TraceRecord> &records,
                  const std::optional<PeerKey> &key = {})
{
    TraceWriter writer(path, header, key);
    for (const auto &it : records) {
        writer.write(it);
    }
}

}
