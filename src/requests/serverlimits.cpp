#include <galenarock/serverlimits.h>

#include <algorithm>

namespace Galenarock
{

namespace
{
/// A question without a reply after this time is answered from the daemon's own part. Several times the round trip
/// between two failure domains, well below the time that a caller waits.
constexpr Duration ReplyTimeout = milliseconds(150);
/// Time for which a silent issuer is not asked again.
constexpr Duration SilentIssuerPause = milliseconds(500);
/// Part of its even share of a rate that a daemon uses without the issuer. The issuer may be giving out the whole rate
/// to the others meanwhile.
constexpr double OwnPartShare = 0.5;
/// A longer time without use starts a daemon's own part anew.
constexpr Duration OwnPartRetention = seconds(5);
constexpr double LongestRefusalSeconds = 2;
/// Number of daemons that a daemon assumes while it has neither seen another one nor read the list of all.
constexpr std::size_t AssumedFleetSize = 16;
constexpr Duration DeadMemberMemory = seconds(60);
/// Gossip of changed rates: interval, receivers, and how long a change is passed on.
constexpr Duration GossipInterval = milliseconds(100);
constexpr int GossipReceivers = 3;
constexpr Duration GossipAge = seconds(1);
constexpr Duration SyncInterval = seconds(5);
constexpr Duration ExpiryInterval = seconds(1);
/// Requests per second to a server that states an even lower rate.
constexpr double SlowestRate = 0.1;
/// A cold server gets no burst beyond one request.
constexpr double ColdBurstSeconds = 0;
/// Number of daemons that a daemon without the list of all assumes in front of a cold server; more than any fleet of
/// this size has, since each of them could be in the same position.
constexpr std::size_t AssumedColdFleetSize = 128;
/// Longer than any server stays cold: a daemon that was cut off must not find the whole rate free again.
constexpr Duration ColdDeadMemberMemory = seconds(600);
/// Part of a cold server's rate that can be saved up by a daemon without the issuer, in seconds. All daemons can get
/// requests at the same time after none for a while.
constexpr Duration ColdOwnPartMemory = seconds(2);
constexpr std::size_t MaxKnownIssuers = 16'384;
constexpr std::size_t MaxQuestions = 10'000;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
}

ServerLimits::ServerLimits(std::string self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
    , m_running{m_self}
{
}

double ServerLimits::uniform()
{
    return static_cast<double>(m_random() >> 11) * 0x1p-53;
}

void ServerLimits::setMembers(Instant now, const std::vector<Member> &members)
{
    const bool wasAlone = m_running.size() == 1;
    std::vector<std::string> running;
    for (const auto &it : members) {
        const auto &name = it.identity.name;
        if (it.status == MemberStatus::Dead) {
            m_deadSince.emplace(name, now);
            continue;
        }
        m_deadSince.erase(name);
        // A stopping daemon finishes its requests, but its permits would end with it.
        if (it.status != MemberStatus::Leaving) {
            running.push_back(name);
        }
    }
    if (running.empty()) {
        running.push_back(m_self);
    }
    std::sort(running.begin(), running.end());
    if (running != m_running) {
        m_running = std::move(running);
        m_issuers.clear();
    }
    if (wasAlone && m_running.size() > 1) {
        m_nextSyncAt = now;
    }
}

std::size_t ServerLimits::fleetSize(Instant now) const
{
    const auto cutOff = std::count_if(m_deadSince.begin(), m_deadSince.end(),
                                      [&](const auto &it) { return now - it.second < DeadMemberMemory; });
    const auto known = m_running.size() + static_cast<std::size_t>(cutOff);
    return known == 1 && !m_isFleetListed ? AssumedFleetSize : known;
}

/// Rendezvous hashing: a change of the members changes the issuer of few servers.
const std::string &ServerLimits::issuerOf(const Identity &server)
{
    const auto [found, isNew] = m_issuers.try_emplace(server.name);
    if (isNew) {
        found->second =
            *std::max_element(m_running.begin(), m_running.end(), [&](const std::string &a, const std::string &b) {
                return hashKey(a + "/" + server.name) < hashKey(b + "/" + server.name);
            });
    }
    return found->second;
}

std::size_t ServerLimits::coldFleetSize(Instant now) const
{
    const auto cutOff = std::count_if(m_deadSince.begin(), m_deadSince.end(),
                                      [&](const auto &it) { return now - it.second < ColdDeadMemberMemory; });
    const auto known = m_running.size() + static_cast<std::size_t>(cutOff);
    return known == 1 && !m_isFleetListed ? AssumedColdFleetSize : known;
}

/// The lower of the rates that the server states, that this daemon knows for a cold server, and that a question states.
/// Another daemon may have read the entry of the server first.
ServerLimits::Pace ServerLimits::paceOf(const ServerLimit &limit) const
{
    const auto stated = m_table.find(limit.server).perSecond;
    Pace pace;
    const auto found = m_cold.find(limit.server);
    if (found != m_cold.end()) {
        pace = {found->second.perSecond, true, found->second.openAt};
    } else if (limit.version == 0 && limit.perSecond > 0) {
        pace = {limit.perSecond, true, {}};
    }
    if (stated > 0) {
        pace.perSecond = pace.isCold ? std::min(pace.perSecond, stated) : stated;
    }
    return pace;
}

/// Rate that this daemon gives out as issuer. Daemons that it does not reach use their own parts, or have an issuer of
/// their own.
double ServerLimits::issuedRate(Instant now, const Pace &pace) const
{
    const auto fleet = pace.isCold ? coldFleetSize(now) : fleetSize(now);
    return pace.perSecond * static_cast<double>(m_running.size()) / static_cast<double>(fleet);
}

/// Requests to a cold server have no reserved share: two buckets for one server could save up twice as many tokens.
Permit ServerLimits::issueAsIssuer(Instant now, const Identity &server, const Pace &pace, std::uint32_t priority,
                                   Duration maxDelay)
{
    const auto rate = issuedRate(now, pace);
    if (!pace.isCold) {
        return m_issuer.issue(now, server, rate, priority, maxDelay);
    }
    if (now < pace.openAt) {
        return {false, pace.openAt - now};
    }
    if (2 * m_running.size() < coldFleetSize(now)) {
        return issueFromOwnPart(now, server, pace);
    }
    return m_issuer.issue(now, server, rate * m_pace.share(server), 0, maxDelay, ColdBurstSeconds);
}

void ServerLimits::setColdServers(const std::vector<ColdServer> &servers)
{
    m_cold.clear();
    for (const auto &it : servers) {
        m_cold.emplace(it.server, it);
    }
    for (auto it = m_signs.begin(); it != m_signs.end();) {
        it = isCold(it->first) ? std::next(it) : m_signs.erase(it);
    }
}

void ServerLimits::observeAnswer(Instant now, const Identity &server, const PaceSigns &signs)
{
    if (!isCold(server)) {
        return;
    }
    if (issuerOf(server) == m_self) {
        m_pace.add(now, server, signs);
    } else {
        m_signs[server] += signs;
    }
}

void ServerLimits::observe(Instant now, const Identity &server, std::optional<double> perSecond)
{
    if (m_table.observe(now, server, perSecond ? std::max(*perSecond, SlowestRate) : 0)) {
        m_changes.push_back(m_table.find(server));
    }
}

void ServerLimits::mergeEntry(Instant now, const ServerLimit &limit)
{
    if (m_table.merge(now, limit)) {
        m_changes.push_back(limit);
    }
}

Instant ServerLimits::refusedUntil(const Identity &server, std::uint32_t priority) const
{
    const auto found = m_refusedUntil.find({server, priority});
    return found == m_refusedUntil.end() || !isLimited(server) ? Instant() : found->second;
}

std::map<Identity, double> ServerLimits::rates() const
{
    std::map<Identity, double> rates;
    for (const auto &it : m_table.all()) {
        if (it.perSecond > 0) {
            rates.emplace(it.server, it.perSecond);
        }
    }
    for (const auto &[server, it] : m_cold) {
        rates[server] = paceOf({server, 0, 0}).perSecond;
    }
    return rates;
}

Permit ServerLimits::remember(Instant now, const Identity &server, std::uint32_t priority, Permit permit)
{
    if (!permit.isGranted) {
        m_refusedUntil[{server, priority}] = now + permit.delay;
    }
    return permit;
}

PermitDecision ServerLimits::ask(Instant now, const Identity &server, std::uint32_t priority, Duration maxDelay,
                                 LimitActions &actions)
{
    auto limit = m_table.find(server);
    const auto pace = paceOf(limit);
    if (pace.perSecond <= 0) {
        return {};
    }
    if (pace.isCold) {
        limit = {server, pace.perSecond, 0};
    }
    const auto toDecision = [](const Permit &permit) {
        return PermitDecision{permit.isGranted ? PermitState::Granted : PermitState::Refused, permit.delay, 0};
    };
    const auto until = refusedUntil(server, priority);
    if (now < until) {
        return {PermitState::Refused, until - now, 0};
    }
    const auto &issuer = issuerOf(server);
    if (issuer == m_self) {
        return toDecision(remember(now, server, priority, issueAsIssuer(now, server, pace, priority, maxDelay)));
    }
    const auto silent = m_silentUntil.find(issuer);
    const bool isSilent = silent != m_silentUntil.end() && now < silent->second;
    if (now < pace.openAt) {
        return toDecision(remember(now, server, priority, {false, pace.openAt - now}));
    }
    // Of a fleet that falls into many parts only the largest has an issuer: the buckets of many would fill at the same
    // time (18 requests in a second with 20 daemons that were cut off).
    const bool isMinority = pace.isCold && 2 * m_running.size() < coldFleetSize(now);
    if (isSilent || isMinority || m_questions.size() >= MaxQuestions) {
        return toDecision(remember(now, server, priority, issueFromOwnPart(now, server, pace)));
    }
    const auto number = m_nextNumber++;
    PaceSigns signs;
    if (const auto found = m_signs.find(server); found != m_signs.end()) {
        signs = found->second;
        m_signs.erase(found);
    }
    m_questions.emplace(number, Question{server, issuer, priority, now});
    actions.messages.push_back(
        {issuer, RequestMessage::PermitRequest, encode(PermitRequest{number, limit, priority, maxDelay, signs})});
    return {PermitState::Pending, {}, number};
}

/// The first token comes at a random time, so that many daemons that lose the issuer at once do not all send one.
Permit ServerLimits::issueFromOwnPart(Instant now, const Identity &server, const Pace &pace)
{
    const auto fleet = pace.isCold ? coldFleetSize(now) : fleetSize(now);
    const double rate = OwnPartShare * pace.perSecond / static_cast<double>(fleet);
    auto &part = m_ownParts[server];
    if (part.refilledAt == Instant() || now - part.refilledAt > OwnPartRetention) {
        part = {uniform(), now};
    }
    const auto saved = pace.isCold ? std::min(ColdOwnPartMemory, now - part.refilledAt) : now - part.refilledAt;
    part.tokens = std::min(1.0, part.tokens + rate * toSeconds(saved));
    part.refilledAt = now;
    if (part.tokens >= 1) {
        part.tokens -= 1;
        return {true, {}};
    }
    const double wait = rate > 0 ? (1 - part.tokens) / rate : LongestRefusalSeconds;
    return {false, duration_cast<Duration>(std::chrono::duration<double>(std::min(wait, LongestRefusalSeconds)))};
}

Result<void> ServerLimits::receive(Instant now, const PeerEvent &event, LimitActions &actions)
{
    switch (event.type) {
    case RequestMessage::LimitUpdate: {
        BOOST_LEAF_AUTO(limits, decodeServerLimits(event.payload));
        for (const auto &it : limits) {
            mergeEntry(now, it);
        }
        return {};
    }
    case RequestMessage::LimitQuery:
        if (const auto limits = m_table.all(); !limits.empty()) {
            actions.messages.push_back({event.sender.name, RequestMessage::LimitUpdate, encode(limits)});
        }
        return {};
    case RequestMessage::PermitRequest: {
        BOOST_LEAF_AUTO(request, decodePermitRequest(event.payload));
        answer(now, event.sender.name, request, actions);
        return {};
    }
    case RequestMessage::PermitReply: {
        BOOST_LEAF_AUTO(reply, decodePermitReply(event.payload));
        takeReply(now, reply, actions);
        return {};
    }
    default:
        return fail(ErrorCode::MalformedMessage, "type of a message about rates");
    }
}

void ServerLimits::answer(Instant now, const std::string &asker, const PermitRequest &request, LimitActions &actions)
{
    mergeEntry(now, request.limit);
    const auto limit = m_table.find(request.limit.server);
    const auto pace = paceOf(request.limit);
    m_pace.add(now, limit.server, request.signs);
    Permit permit{true, {}};
    if (pace.perSecond > 0) {
        permit = issueAsIssuer(now, limit.server, pace, request.priority, request.maxDelay);
    }
    actions.messages.push_back(
        {asker, RequestMessage::PermitReply, encode(PermitReply{request.number, limit, permit})});
}

void ServerLimits::takeReply(Instant now, const PermitReply &reply, LimitActions &actions)
{
    mergeEntry(now, reply.limit);
    const auto found = m_questions.find(reply.number);
    // An earlier process of this daemon counted its questions from 1 as well. A reply that comes too late is answered
    // from the own part by endQuestions().
    if (found == m_questions.end() || now - found->second.askedAt >= ReplyTimeout
        || found->second.server != reply.limit.server) {
        return;
    }
    const auto question = found->second;
    m_questions.erase(found);
    m_silentUntil.erase(question.issuer);
    actions.outcomes.push_back({reply.number, remember(now, question.server, question.priority, reply.permit)});
}

void ServerLimits::step(Instant now, LimitActions &actions)
{
    for (auto it = m_cold.begin(); it != m_cold.end();) {
        it = now >= it->second.until ? m_cold.erase(it) : std::next(it);
    }
    endQuestions(now, actions);
    sendRecentChanges(now, actions);
    synchronize(now, actions);
    actions.changes.insert(actions.changes.end(), m_changes.begin(), m_changes.end());
    m_changes.clear();
    if (now < m_nextExpiryAt) {
        return;
    }
    m_nextExpiryAt = now + ExpiryInterval;
    m_table.expire(now);
    m_issuer.expire(now);
    m_pace.expire(now);
    if (m_issuers.size() > MaxKnownIssuers) {
        m_issuers.clear(); // they are found again when they are needed
    }
    for (auto it = m_refusedUntil.begin(); it != m_refusedUntil.end();) {
        it = now >= it->second ? m_refusedUntil.erase(it) : std::next(it);
    }
    for (auto it = m_ownParts.begin(); it != m_ownParts.end();) {
        it = now - it->second.refilledAt > OwnPartRetention ? m_ownParts.erase(it) : std::next(it);
    }
}

void ServerLimits::endQuestions(Instant now, LimitActions &actions)
{
    while (!m_questions.empty() && now - m_questions.begin()->second.askedAt >= ReplyTimeout) {
        const auto [number, question] = *m_questions.begin();
        m_questions.erase(m_questions.begin());
        m_silentUntil[question.issuer] = now + SilentIssuerPause;
        const auto pace = paceOf({question.server, 0, 0});
        const auto permit = pace.perSecond > 0 ? issueFromOwnPart(now, question.server, pace) : Permit{true, {}};
        actions.outcomes.push_back({number, remember(now, question.server, question.priority, permit)});
    }
}

std::string ServerLimits::randomMember()
{
    const auto &name = m_running[m_random() % m_running.size()];
    return name == m_self ? std::string() : name;
}

void ServerLimits::sendRecentChanges(Instant now, LimitActions &actions)
{
    if (now < m_nextGossipAt) {
        return;
    }
    m_nextGossipAt = now + GossipInterval;
    const auto changes = m_table.changedWithin(now, GossipAge);
    if (changes.empty()) {
        return;
    }
    const auto payload = encode(changes);
    for (int n = 0; n < GossipReceivers; ++n) {
        const auto member = randomMember();
        if (!member.empty()) {
            actions.messages.push_back({member, RequestMessage::LimitUpdate, payload});
        }
    }
}

/// Asks one member for all rates, for those that were passed on before this daemon started or while it was cut off.
void ServerLimits::synchronize(Instant now, LimitActions &actions)
{
    if (now < m_nextSyncAt || m_running.size() == 1) {
        return;
    }
    m_nextSyncAt = now + SyncInterval;
    const auto member = randomMember();
    if (member.empty()) {
        m_nextSyncAt = now;
        return;
    }
    actions.messages.push_back({member, RequestMessage::LimitQuery, {}});
}

}
