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

/// Event traces: file format, replay of control cores against a trace, and checks of requests, owners and versions.
///
/// File: `GRTRACE\n`, format version and checksum kind (4 bytes each), then records. A record is its length (4 bytes),
/// its cereal portable binary encoding, and a checksum (8 bytes) over the previous checksum and the encoding, so that
/// removed and reordered records are detected too. Numbers are little-endian. The first record is the TraceHeader, the
/// last one the TraceEnd.
namespace Galenarock
{

inline constexpr std::uint32_t traceFormatVersion = 1;

struct TraceHeader
{
    std::uint64_t seed = 0;
    Identity daemon;
    /// `startedAt` and `startedWallMs` are the same moment on the steady and the wall clock, so that times of traces
    /// from different machines can be compared.
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
    /// Name of the core, such as `ownership/vitrina`, `membership` or `configuration`.
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

/// An entry of a backend server's journal: a request that the server ran, wholly or in part.
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

/// The daemon started to use this version of a service's document.
struct ConfigurationRecord
{
    Instant at;
    std::string service;
    std::uint64_t version = 0;
};

/// A server was marked as leaving or announced its drain. The checker also reads leaving servers from VmListEvents.
struct LeavingRecord
{
    Instant at;
    std::string server;
};

/// The last record, with the number of records before it. A trace without it is incomplete.
struct TraceEnd
{
    std::uint64_t records = 0;
};

using TraceRecord = std::variant<TraceHeader, EventRecord, ActionRecord, AcceptedRecord, OutcomeRecord, JournalRecord,
                                 HoldRecord, ConfigurationRecord, LeavingRecord, TraceEnd>;

/// Appends records to a file. Thread-safe; the lock is held during the write, so tracing suits test runs and not
/// daemons under load.
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

/// The records of a trace file. When `findings` is not empty, `records` has the records before the defect. The place of
/// a finding is `NAME: byte N`.
struct Trace
{
    std::string name;
    TraceHeader header;
    std::vector<TraceRecord> records;
    Findings findings;
};

/// Reads the records of one trace in sequence.
class TraceReader
{
public:
    /// `name` is the name of the trace in findings and violations.
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
    std::optional<std::string_view> verifiedPayload();
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
/// out. The place of a finding is `NAME: line N`.
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
    /// Convert all times to wall clock time with the clocks in the headers; needed for traces of different machines.
    bool usesWallClock = false;
    /// Differences between two times up to this are attributed to clock error and break no rule.
    Duration clockAllowance{0};
    /// G6: how long after it was marked as leaving a server may still receive new work.
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

/// Checks the traces of all daemons and servers of one test run together: owner intervals of a key do not overlap, each
/// request has exactly one outcome, a request with the outcome "not run" is in no journal, a non-repeatable request is
/// in all journals at most once, configuration versions do not decrease, and no work starts on a leaving server after
/// the allowance.
CheckReport checkTraces(const std::vector<Trace> &traces, const CheckOptions &options = {});

/// Passes one event to a control core and returns the core's actions.
using CoreStep = std::function<ControlActions(Instant now, const ControlEvent &event)>;

/// Feeds the events of `trace` to a new core through `step` and compares its actions with the recorded ones of `core`.
/// Returns the first difference; the place is `record N`.
Findings replayCore(const Trace &trace, std::string_view core, const CoreStep &step);

}
