#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/requests.h>
#include <galenarock/settings.h>

/// Event traces: file format, comparison of control cores with a trace, and the outcome checker.
///
/// File: `GRTRACE\n`, format version and checksum kind (4 bytes each), then records. A record is its length (4 bytes),
/// its cereal portable binary encoding, and a checksum (8 bytes) over the checksum before it and the encoding, so that
/// removed and exchanged records are found too. Numbers are little-endian. The first record is the TraceHeader, the
/// last one the TraceEnd.
namespace Galenarock
{

inline constexpr std::uint32_t traceFormatVersion = 1;

struct TraceHeader
{
    std::uint64_t seed = 0;
    Identity daemon;
    /// The same moment on both clocks, to compare traces of different machines.
    Instant startedAt;
    WallMilliseconds startedWallMs = 0;
};

/// An event that the control thread fed to the cores.
struct EventRecord
{
    Instant at;
    ControlEvent event;
};

/// An action that a core returned for the event before it.
struct ActionRecord
{
    Instant at;
    /// `ownership/vitrina`, `membership`, `configuration`.
    std::string core;
    ControlAction action;
};

/// A caller's request arrived. `number` is unique within the trace.
struct AcceptedRecord
{
    Instant at;
    std::uint64_t number = 0;
    std::string requestId;
    std::string service;
    std::string key;
    bool isRepeatable = true;
};

/// The outcome that the caller of request `number` received.
struct OutcomeRecord
{
    Instant at;
    std::uint64_t number = 0;
    Token token;
    /// Name of the backend server that was tried last; empty for none.
    std::string server;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
};

/// A request that a backend server ran, wholly or in part, from the server's own journal.
struct JournalRecord
{
    Identity server;
    std::string service;
    std::string requestId;
    std::string key;
    /// 0.0 for a service without keys.
    Token token;
    Instant startedAt;
    Instant endedAt;
};

/// A server held a slice from `from` until `until` at the latest, on its own clock.
struct HoldRecord
{
    Identity server;
    std::string service;
    SliceRange range;
    Token token;
    Instant from;
    Instant until;
};

/// The daemon used this version of a service's document from now on.
struct ConfigurationRecord
{
    Instant at;
    std::string service;
    std::uint64_t version = 0;
};

/// A server was marked as leaving or announced its drain. VmListEvents count as well.
struct LeavingRecord
{
    Instant at;
    std::string server;
};

/// Number of records before it; a trace without it was cut.
struct TraceEnd
{
    std::uint64_t records = 0;
};

using TraceRecord = std::variant<TraceHeader, EventRecord, ActionRecord, AcceptedRecord, OutcomeRecord, JournalRecord,
                                 HoldRecord, ConfigurationRecord, LeavingRecord, TraceEnd>;

/// Appends records to a file. Thread-safe; the lock is held during the write, so a trace is for trials and not for a
/// busy daemon.
///
/// Example: `TraceWriter writer("vm-1.trace", header); writer.write(EventRecord{now, event});`
class TraceWriter
{
public:
    /// With a key the checksums are keyed BLAKE2b, so that a trace cannot be altered without the key.
    TraceWriter(const std::string &path, const TraceHeader &header, std::optional<PeerKey> key = {});
    /// Writes the TraceEnd.
    ~TraceWriter();
    TraceWriter(const TraceWriter &) = delete;
    TraceWriter &operator=(const TraceWriter &) = delete;

    void write(const TraceRecord &record);
    /// False after a failed open or write; later records are dropped.
    bool isGood() const;

private:
    void writeLocked(const TraceRecord &record);

    mutable std::mutex m_mutex;
    std::ofstream m_file;
    std::optional<PeerKey> m_key;
    std::uint64_t m_checksum = 0;
    std::uint64_t m_records = 0;
};

/// A trace as read. When `findings` is not empty, `records` holds what precedes the defect. The place of a finding is
/// `byte N`.
struct Trace
{
    std::string name;
    TraceHeader header;
    std::vector<TraceRecord> records;
    Findings findings;
};

/// Reads the records of one trace one after the other.
class TraceReader
{
public:
    /// `name` appears in reports.
    TraceReader(std::string name, std::string bytes, std::optional<PeerKey> key = {});

    /// The next record; empty at the end or after a defect, which findings() names.
    std::optional<TraceRecord> next();
    const Findings &findings() const
    {
        return m_findings;
    }

    static Trace readAll(std::string name, std::string bytes, std::optional<PeerKey> key = {});
    static Trace readFile(const std::string &path, std::optional<PeerKey> key = {});

private:
    bool readPreamble();
    std::optional<std::string_view> takePayload();
    std::nullopt_t failAt(std::size_t byte, ErrorCode code, std::string message);

    std::string m_name;
    std::string m_bytes;
    std::optional<PeerKey> m_key;
    std::size_t m_position = 0;
    std::uint64_t m_checksum = 0;
    std::uint64_t m_records = 0;
    bool m_isOpen = false;
    bool m_isDone = false;
    Findings m_findings;
};

/// Journal of a backend server: one JSON object a line (`requestId`, `key`, `service`, `server`, `boot`, `token`,
/// `startUs`, `endUs`, `state`), closed by `{"end":true,"entries":n,"dropped":n}`. Entries that did no work are left
/// out. The place of a finding is `line N`.
Trace readJournal(std::string name, std::string_view text);

/// A rule that the traces break.
struct Violation
{
    /// `owner-overlap`, `one-outcome`, `not-run-ran`, `ran-twice`, `version-fell`, `work-after-leaving`.
    std::string_view rule;
    std::string text;

    friend bool operator==(const Violation &a, const Violation &b)
    {
        return a.rule == b.rule && a.text == b.text;
    }
};

struct CheckOptions
{
    /// Convert the times by the headers' wall clocks; needed for traces of different machines.
    bool usesWallClock = false;
    /// Times closer than this are not taken as overlapping.
    Duration clockAllowance{0};
    /// G6: time until which a leaving server may receive new work.
    Duration leavingAllowance = seconds(2);
};

struct CheckReport
{
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;
    std::uint64_t holds = 0;
    std::uint64_t versions = 0;
    std::uint64_t leavings = 0;
    /// Sorted by rule and text.
    std::vector<Violation> violations;
};

/// Checks the traces of all daemons and servers of one trial together: owner intervals of a key do not overlap, each
/// request has exactly one outcome, "not run" is in no journal, a non-repeatable id is in all journals at most once,
/// configuration versions do not fall, no work starts on a leaving server after the allowance.
CheckReport checkTraces(const std::vector<Trace> &traces, const CheckOptions &options = {});

/// One step of a control core.
using CoreStep = std::function<ControlActions(Instant now, const ControlEvent &event)>;

/// Feeds the events of `trace` to a fresh core and compares its actions with the recorded ones of `core`. Returns the
/// first difference; the place is `record N`.
Findings replayCore(const Trace &trace, std::string_view core, const CoreStep &step);

}
