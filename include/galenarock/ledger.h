#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <galenarock/assignment.h>
#include <galenarock/base.h>
#include <galenarock/platform.h>
#include <galenarock/requests.h>

/// Request ledger: records the ids of non-repeatable requests, so that each runs at most once.
///
/// Entry daemons divide the hash space of request ids into ranges; the ledger owner of a range is the daemon that holds
/// its grant (design page, section 5.2).
namespace Galenarock
{

/// A UUIDv7 (RFC 9562). Order is order of creation time.
struct RequestId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// Creation time in the id, milliseconds since the Unix epoch.
    WallMilliseconds time() const
    {
        return static_cast<WallMilliseconds>(high >> 16);
    }
    friend bool operator==(const RequestId &a, const RequestId &b)
    {
        return a.high == b.high && a.low == b.low;
    }
    friend bool operator!=(const RequestId &a, const RequestId &b)
    {
        return !(a == b);
    }
    friend bool operator<(const RequestId &a, const RequestId &b)
    {
        return std::tie(a.high, a.low) < std::tie(b.high, b.low);
    }
};

/// Reads `xxxxxxxx-xxxx-7xxx-[89ab]xxx-xxxxxxxxxxxx` in either case; empty on anything else.
std::optional<RequestId> parseRequestId(std::string_view text);
std::string toString(const RequestId &id);
/// Position in the hash space, by which ids are divided among ledger owners.
KeyHash hashOf(const RequestId &id);

/// `service` of the assignment whose servers are entry VMs and whose slices are ranges of id hashes. Not a valid name
/// for a service document, so that it cannot collide with one.
inline constexpr std::string_view ledgerService = "_request-ledger";

/// Response of a backend server as recorded and repeated.
struct RecordedResponse
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Memory that the response takes, overhead of strings and allocations included.
    std::size_t byteCount() const;
    /// Bytes of headers and body.
    std::size_t contentBytes() const;
    friend bool operator==(const RecordedResponse &a, const RecordedResponse &b)
    {
        return a.status == b.status && a.headers == b.headers && a.body == b.body;
    }
};

struct LedgerSettings
{
    /// Ids older than this are refused, so records need not be kept longer.
    std::int64_t retentionMs = 600'000;
    /// A new ledger owner refuses ids created earlier than its takeover plus this.
    std::int64_t takeoverAllowanceMs = 2'000;
    /// Ids created later than the ledger owner's clock plus this are refused. The takeover allowance minus this is how
    /// far the clocks of two entry VMs may differ without the old and the new owner accepting the same id.
    std::int64_t aheadAllowanceMs = 1'500;
    /// At the bound new ids are refused, because dropping a record could run a request twice.
    std::size_t maxEntries = 100'000;
    /// Larger responses are recorded as run, without content.
    std::size_t maxResponseBytes = 4'096;
    /// All recorded responses together, with their overhead; the oldest lose their content first.
    std::size_t maxTotalBytes = 4u << 20;
};

enum class LedgerVerdict : std::uint8_t
{
    /// Recorded; the request may be sent now, and finish() must follow.
    Accept,
    /// Ran before; `response` is to be repeated, or `refusal` says why it cannot be.
    Duplicate,
    InFlight,
    TooOld,
    Ahead,
    /// This daemon does not hold the id's range now.
    NotOwner,
    Full,
};

struct LedgerDecision
{
    LedgerVerdict verdict = LedgerVerdict::NotOwner;
    /// Set for Duplicate when the response was kept.
    std::shared_ptr<const RecordedResponse> response;
    /// Set for every verdict but Accept and a Duplicate with response.
    std::optional<Refusal> refusal;
};

/// A range of id hashes under its token.
struct LedgerRange
{
    SliceRange range;
    Token token;
    /// Lowest sequence under which the owner has held the range without interruption: a new leader grants the same
    /// ranges under new sequences. 0 means the token's.
    std::uint64_t since = 0;

    std::uint64_t firstSequence() const
    {
        return since == 0 ? token.sequence : since;
    }
    friend bool operator==(const LedgerRange &a, const LedgerRange &b)
    {
        return a.range == b.range && a.token == b.token;
    }
};

/// One recorded id as handed over to the next owner of its range.
struct LedgerRecord
{
    RequestId id;
    /// False for an id whose outcome is unknown or still open.
    bool isAnswered = false;
    unsigned status = 0;
    std::shared_ptr<const RecordedResponse> response;
    Reason reason = Reason::None;
};

/// All records that a former owner has of a range.
struct LedgerHandover
{
    SliceRange range;
    /// Every id of the range that ran and was created from this time on is in `records`.
    WallMilliseconds completeFrom = 0;
    std::vector<LedgerRecord> records;
};

/// Outcomes of the non-repeatable requests whose ids this daemon owns.
class RequestLedger
{
public:
    explicit RequestLedger(LedgerSettings settings = {});

    /// The ranges granted to this daemon from now on. A range counts as held without interruption when all of it was
    /// held before without interruption; otherwise its takeover time is `wallNow` and it is returned as gained.
    std::vector<LedgerRange> setRanges(WallMilliseconds wallNow, const std::vector<LedgerRange> &ranges);
    /// The grant ends at this time unless renewed; begin() refuses afterwards. Measured on this daemon's own clock.
    void renewUntil(Instant termEnd);

    /// Decides about a request and, for Accept, records its id before any byte is sent.
    LedgerDecision begin(Instant now, WallMilliseconds wallNow, const RequestId &id);
    /// The server's complete response.
    void answered(const RequestId &id, RecordedResponse response);
    /// Not run: the id is forgotten, and a repeat is accepted. Unknown: repeats get the same refusal.
    void refused(const RequestId &id, const Refusal &refusal);

    /// Records for the next owner. Empty while any part of the range is held here, or if some part was never held here.
    std::optional<LedgerHandover> handOver(const LedgerRange &range) const;
    /// Adds the records of the former owner: ids created from `completeFrom` on are accepted or recognised from now on.
    /// Ignored for a range that is not held.
    void takeOver(const LedgerHandover &handover);

    std::size_t size() const
    {
        return m_entries.size();
    }
    std::size_t responseBytes() const
    {
        return m_responseBytes;
    }

private:
    enum class State : std::uint8_t
    {
        InFlight,
        Answered,
        Unknown,
    };
    struct Entry
    {
        State state = State::InFlight;
        unsigned status = 0;
        std::shared_ptr<const RecordedResponse> response;
        Reason reason = Reason::None;
    };
    struct HeldRange
    {
        LedgerRange range;
        WallMilliseconds takeover = 0;
    };
    std::optional<WallMilliseconds> inheritedTakeover(const LedgerRange &range) const;
    const HeldRange *heldRange(KeyHash hash) const;
    void expire(WallMilliseconds wallNow);
    void boundResponses();
    static LedgerDecision repeated(const Entry &entry);

    LedgerSettings m_settings;
    void release(const HeldRange &range);

    /// Ranges released last, newest at the back. The next owner asks for the records within seconds.
    static constexpr std::size_t maxReleased = 512;

    std::vector<HeldRange> m_ranges;
    std::deque<HeldRange> m_released;
    Instant m_termEnd{};
    /// Ids created earlier are refused. Never falls, also when the wall clock is set back.
    WallMilliseconds m_floor = 0;
    /// Sorted by creation time, since UUIDv7 are.
    std::map<RequestId, Entry> m_entries;
    /// Ids whose response is kept, in the order of their answers.
    std::deque<RequestId> m_withResponse;
    std::size_t m_responseBytes = 0;
};

/// Ledger owner of each range of id hashes; equal on all daemons that have the same assignment.
class LedgerOwnerMap
{
public:
    struct Owner
    {
        Identity identity;
        /// `ip:port` for requests; empty when the VM list does not name the VM.
        std::string address;
        Token token;

        friend bool operator==(const Owner &a, const Owner &b)
        {
            return a.identity == b.identity && a.address == b.address && a.token == b.token;
        }
    };

    LedgerOwnerMap() = default;
    LedgerOwnerMap(Assignment assignment, const VmList &vms);
    /// Ledger owner of the id; empty if it has none or its address is unknown (refused with LedgerOwnerUnavailable).
    std::optional<Owner> reachableOwner(const RequestId &id) const;
    /// Owner that the assignment names for `hash`, whether its address is known or not.
    std::optional<Identity> assignedOwner(KeyHash hash) const;
    /// Ranges that `identity` owns, for RequestLedger::setRanges.
    std::vector<LedgerRange> rangesOf(const Identity &identity) const;

private:
    Assignment m_assignment;
    /// Same order as Assignment::servers.
    std::vector<std::string> m_addresses;
};

}
