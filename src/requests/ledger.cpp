#include <galenarock/ledger.h>

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
constexpr std::size_t UuidLength = 36;

bool isDash(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<std::uint64_t> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    if (lower >= 'a' && lower <= 'f') {
        return lower - 'a' + 10;
    }
    return {};
}

LedgerDecision refuse(LedgerVerdict verdict, Reason reason, std::string detail = {}, std::int64_t untilMs = 0)
{
    return {verdict, nullptr, Refusal{reason, reasonInfo(reason).outcome, std::move(detail), untilMs}};
}
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if (text.size() != UuidLength) {
        return {};
    }
    std::array<std::uint64_t, 2> words{};
    std::size_t digits = 0;
    for (std::size_t n = 0; n < UuidLength; ++n) {
        if (isDash(n)) {
            if (text[n] != '-') {
                return {};
            }
            continue;
        }
        const auto digit = hexDigit(text[n]);
        if (!digit) {
            return {};
        }
        words[digits / 16] = words[digits / 16] << 4 | *digit;
        ++digits;
    }
    const bool isVersion7 = (words[0] >> 12 & 0xf) == 7;
    const bool isRfcVariant = words[1] >> 62 == 2;
    if (!isVersion7 || !isRfcVariant) {
        return {};
    }
    return RequestId{words[0], words[1]};
}

std::string toString(const RequestId &id)
{
    const auto high = toHex(id.high);
    const auto low = toHex(id.low);
    return fmt::format("{}-{}-{}-{}-{}", high.substr(0, 8), high.substr(8, 4), high.substr(12, 4), low.substr(0, 4),
                       low.substr(4, 12));
}

KeyHash hashOf(const RequestId &id)
{
    std::array<char, 16> bytes{};
    for (std::size_t n = 0; n < 8; ++n) {
        bytes[n] = static_cast<char>(id.high >> (56 - 8 * n));
        bytes[n + 8] = static_cast<char>(id.low >> (56 - 8 * n));
    }
    return hashKey({bytes.data(), bytes.size()});
}

std::size_t RecordedResponse::byteCount() const
{
    constexpr std::size_t allocation = 16;
    const std::size_t fixed = sizeof(*this) + 3 * allocation;
    return fixed + headers.size() * sizeof(headers[0]) + contentBytes();
}

std::size_t RecordedResponse::contentBytes() const
{
    std::size_t n = body.size();
    for (const auto &it : headers) {
        n += it.first.size() + it.second.size();
    }
    return n;
}

RequestLedger::RequestLedger(LedgerSettings settings)
    : m_settings(settings)
{
}

std::optional<WallMilliseconds> RequestLedger::inheritedTakeover(const LedgerRange &range) const
{
    KeyHash position = range.range.first;
    WallMilliseconds takeover = 0;
    for (const auto &it : m_ranges) {
        if (it.range.range.last < position) {
            continue;
        }
        if (it.range.range.first > position || it.range.token.sequence < range.firstSequence()) {
            return {};
        }
        takeover = std::max(takeover, it.takeover);
        if (it.range.range.last >= range.range.last) {
            return takeover;
        }
        position = it.range.range.last + 1;
    }
    return {};
}

std::vector<LedgerRange> RequestLedger::setRanges(WallMilliseconds wallNow, const std::vector<LedgerRange> &ranges)
{
    std::vector<HeldRange> held;
    std::vector<LedgerRange> gained;
    for (const auto &it : ranges) {
        const auto inherited = inheritedTakeover(it);
        held.push_back({it, inherited.value_or(wallNow)});
        if (!inherited) {
            gained.push_back(it);
        }
    }
    std::sort(held.begin(), held.end(),
              [](const HeldRange &a, const HeldRange &b) { return a.range.range < b.range.range; });
    std::swap(m_ranges, held);
    for (const auto &it : held) {
        const auto *current = heldRange(it.range.range.first);
        if (!current || current->range.firstSequence() > it.range.token.sequence) {
            release(it);
        }
    }
    return gained;
}

void RequestLedger::renewUntil(Instant termEnd)
{
    m_termEnd = termEnd;
}

const RequestLedger::HeldRange *RequestLedger::heldRange(KeyHash hash) const
{
    for (const auto &it : m_ranges) {
        if (it.range.range.contains(hash)) {
            return &it;
        }
    }
    return nullptr;
}

void RequestLedger::expire(WallMilliseconds wallNow)
{
    const auto oldest = wallNow - m_settings.retentionMs;
    while (!m_entries.empty() && m_entries.begin()->first.time() < oldest) {
        const auto it = m_entries.begin();
        // The id is no longer recorded, so ids up to its time are refused, even if the wall clock is set back later.
        m_minCreationTime = std::max(m_minCreationTime, it->first.time() + 1);
        m_responseBytes -= it->second.response ? it->second.response->byteCount() : 0;
        m_entries.erase(it);
    }
}

LedgerDecision RequestLedger::repeated(const Entry &entry)
{
    switch (entry.state) {
    case State::InFlight:
        return refuse(LedgerVerdict::InFlight, Reason::RequestIdInFlight);
    case State::Unknown: {
        auto decision = refuse(LedgerVerdict::Duplicate, entry.reason);
        decision.refusal->outcome = Outcome::Unknown;
        return decision;
    }
    case State::Answered:
        break;
    }
    if (entry.response) {
        return {LedgerVerdict::Duplicate, entry.response, {}};
    }
    return refuse(LedgerVerdict::Duplicate, Reason::RequestIdAnswered,
                  fmt::format("the request ran with status {}; its response was not kept", entry.status));
}

LedgerDecision RequestLedger::begin(Instant now, WallMilliseconds wallNow, const RequestId &id)
{
    const auto *range = heldRange(hashOf(id));
    if (!range || now >= m_termEnd) {
        return refuse(LedgerVerdict::NotOwner, Reason::LedgerOwnerUnavailable);
    }
    expire(wallNow);
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        return repeated(it->second);
    }
    const auto oldest = std::max(
        {m_minCreationTime, wallNow - m_settings.retentionMs, range->takeover + m_settings.takeoverAllowanceMs});
    if (id.time() < oldest) {
        return refuse(LedgerVerdict::TooOld, Reason::RequestIdTooOld);
    }
    const auto ahead = id.time() - wallNow - m_settings.aheadAllowanceMs;
    if (ahead > 0) {
        return refuse(LedgerVerdict::Ahead, Reason::RequestIdAhead, {}, ahead);
    }
    if (m_entries.size() >= m_settings.maxEntries) {
        return refuse(LedgerVerdict::Full, Reason::QueueFull, "the keeper's record of request ids is full");
    }
    m_entries.emplace(id, Entry());
    return {LedgerVerdict::Accept, nullptr, {}};
}

void RequestLedger::answered(const RequestId &id, RecordedResponse response)
{
    const auto it = m_entries.find(id);
    // Only an id in flight can complete; a late second completion must not replace the recorded outcome.
    if (it == m_entries.end() || it->second.state != State::InFlight) {
        return;
    }
    it->second.state = State::Answered;
    it->second.status = response.status;
    if (response.contentBytes() > m_settings.maxResponseBytes) {
        return;
    }
    m_responseBytes += response.byteCount();
    it->second.response = std::make_shared<const RecordedResponse>(std::move(response));
    m_withResponse.push_back(id);
    boundResponses();
}

void RequestLedger::boundResponses()
{
    while (m_responseBytes > m_settings.maxTotalBytes || m_withResponse.size() > m_settings.maxEntries) {
        const auto it = m_entries.find(m_withResponse.front());
        m_withResponse.pop_front();
        if (it == m_entries.end() || !it->second.response) {
            continue;
        }
        m_responseBytes -= it->second.response->byteCount();
        it->second.response.reset();
    }
}

void RequestLedger::refused(const RequestId &id, const Refusal &refusal)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.state != State::InFlight) {
        return;
    }
    if (refusal.outcome == Outcome::NotRun) {
        m_entries.erase(it);
        return;
    }
    it->second.state = State::Unknown;
    it->second.reason = refusal.reason;
}

LedgerOwnerMap::LedgerOwnerMap(Assignment assignment, const VmList &vms)
    : m_assignment(std::move(assignment))
    , m_addresses(m_assignment.servers.size())
{
    for (std::size_t n = 0; n < m_addresses.size(); ++n) {
        for (const auto &it : vms.vms) {
            if (it.role == VmRole::Entry && it.name == m_assignment.servers[n].name) {
                m_addresses[n] = it.address;
            }
        }
    }
}

std::optional<LedgerOwnerMap::Owner> LedgerOwnerMap::reachableOwner(const RequestId &id) const
{
    const auto *slice = m_assignment.find(hashOf(id));
    if (!slice || slice->owner == noServer || m_addresses[slice->owner].empty()) {
        return {};
    }
    return Owner{m_assignment.servers[slice->owner], m_addresses[slice->owner], m_assignment.token(*slice)};
}

std::optional<Identity> LedgerOwnerMap::assignedOwner(KeyHash hash) const
{
    const auto *slice = m_assignment.find(hash);
    if (!slice || slice->owner == noServer) {
        return {};
    }
    return m_assignment.servers[slice->owner];
}

std::vector<LedgerRange> LedgerOwnerMap::rangesOf(const Identity &identity) const
{
    std::vector<LedgerRange> ranges;
    for (const auto &it : m_assignment.slices) {
        if (it.owner == noServer || m_assignment.servers[it.owner] != identity) {
            continue;
        }
        ranges.push_back({it.range, m_assignment.token(it)});
    }
    return ranges;
}

}
