#include "ownership/shard_p.h"

#include <algorithm>
#include <cmath>

namespace Galenarock
{

namespace
{
/// Difference in takeover delay between neighbouring ranks: the deciding write takes a few ms, its spread a second.
constexpr Duration rankDelay = milliseconds(500);
/// Delay of daemons outside the pair, so that the deputy comes first.
constexpr Duration outsiderDelay = seconds(1);
/// Two sides of a partition would otherwise take the mandate from each other without end.
constexpr Duration takeoverBackoff = seconds(2);
constexpr unsigned maxBackoffDoublings = 6;
constexpr Duration quietPeriod = seconds(300);
constexpr Duration mandateRetry = milliseconds(500);
constexpr Duration unknownReadInterval = seconds(1);
constexpr Duration refreshInterval = seconds(30);
/// A coordinator waits this long for a first deputy, so that members that start together are all known.
constexpr Duration deputyPatience = milliseconds(500);
/// A VM that this daemon has never seen in the VM list may be too new for it; the list lags by less than this.
constexpr Duration unseenWait = seconds(60);
constexpr Duration contactInterval = seconds(5);
constexpr Duration contactRetry = milliseconds(200);
}

Duration Shard::lengthened(Duration duration) const
{
    return duration
        + Duration(
               std::llround(static_cast<double>(duration.count()) * m_settings.document.ownership.driftPercent / 100));
}

Duration Shard::term() const
{
    return milliseconds(m_settings.document.ownership.termMs);
}

Duration Shard::holdCap() const
{
    return milliseconds(m_settings.document.ownership.holdMs);
}

ShardRole Shard::role() const
{
    if (!m_mandate || m_mandate->epoch < m_supersededBy) {
        return ShardRole::None;
    }
    if (m_mandate->coordinator == m_settings.self) {
        return ShardRole::Coordinator;
    }
    return m_mandate->deputy == m_settings.self ? ShardRole::Deputy : ShardRole::None;
}

std::uint32_t Shard::epoch() const
{
    return m_mandate ? m_mandate->epoch : 0;
}

bool Shard::isHandedOver() const
{
    const bool isAlone = std::none_of(m_members.begin(), m_members.end(), [&](const Member &it) {
        return it.identity != m_settings.self && it.status == MemberStatus::Alive;
    });
    return isAlone || (role() == ShardRole::None && !m_mandateWriter.isPending());
}

bool Shard::isEntitled() const
{
    return role() != ShardRole::None && m_contactAt && m_now < *m_contactAt + holdCap();
}

const Member *Shard::aliveMember(const Identity &identity) const
{
    for (const auto &it : m_members) {
        const bool alive = it.status != MemberStatus::Dead && it.listed;
        if (it.identity == identity && alive) {
            return &it;
        }
    }
    return nullptr;
}

bool Shard::isUnlisted(const std::string &vm) const
{
    if (m_vms.revision == 0 || m_listedNow.count(vm) != 0) {
        return false;
    }
    return m_listedOnce.count(vm) != 0 || m_now > m_epochSince + unseenWait;
}

std::vector<const Member *> Shard::rankedMembers() const
{
    std::vector<const Member *> ranked;
    for (const auto &it : m_members) {
        if (it.status == MemberStatus::Alive && it.listed) {
            ranked.push_back(&it);
        }
    }
    const auto shardHash = hashKey(m_settings.shard);
    const auto weight = [&](const Member *it) {
        return mixBits(hashKey(it->identity.name) ^ shardHash);
    };
    std::sort(ranked.begin(), ranked.end(), [&](auto a, auto b) { return weight(a) > weight(b); });
    return ranked;
}

std::optional<Identity> Shard::chooseDeputy(const Identity &coordinator) const
{
    const auto *const coordinatorMember = aliveMember(coordinator);
    std::optional<Identity> fallback;
    for (const auto *it : rankedMembers()) {
        if (it->identity == coordinator || (m_stopping && it->identity == m_settings.self)) {
            continue;
        }
        if (!coordinatorMember || it->failureDomain != coordinatorMember->failureDomain) {
            return it->identity;
        }
        fallback = fallback ? fallback : it->identity;
    }
    return fallback;
}

void Shard::tickMandate()
{
    if (role() != ShardRole::None && m_contactAt && !isEntitled() && !m_capLogged) {
        m_capLogged = true;
        decide(OwnershipEvents::HoldCapReached, {}, "shard {} epoch {}: renewals end", m_settings.shard, epoch());
    }
    if (m_now - m_lastTakeoverAt > quietPeriod) {
        m_recentTakeovers = 0;
    }
    const auto refresh = m_mandateWriter.isKnown() ? refreshInterval : unknownReadInterval;
    if (m_now >= m_nextRefreshAt && !m_mandateWriter.isPending()) {
        m_nextRefreshAt = m_now + refresh;
        m_mandateWriter.read(*m_actions);
        m_assignmentWriter.read(*m_actions);
    }
    if (role() == ShardRole::Coordinator) {
        return tickCoordinator();
    }
    if (role() == ShardRole::Deputy) {
        queryContact();
    }
    considerTakeover();
}

void Shard::tickCoordinator()
{
    if (m_mandateWriter.isPending() || m_now < m_nextMandateAt) {
        return;
    }
    if (m_stopping) {
        return handOver();
    }
    considerDeputy();
    if (!m_mandateWriter.isPending()) {
        renewMandate();
    }
}

void Shard::renewMandate()
{
    const bool mayForget = isActive() && !m_mandate->former.empty() && m_former.empty() && m_now >= m_formerBound;
    if (m_contactAt && m_now < *m_contactAt + holdCap() / 3 && !mayForget) {
        return;
    }
    auto renewed = *m_mandate;
    if (mayForget) {
        renewed.former.clear();
    }
    writeMandate(std::move(renewed));
}

void Shard::considerDeputy()
{
    const auto *const deputy = m_mandate->deputy ? aliveMember(*m_mandate->deputy) : nullptr;
    if (deputy && deputy->status != MemberStatus::Leaving) {
        return;
    }
    if (!m_mandate->deputy && m_now - m_epochSince < deputyPatience) {
        return;
    }
    const auto chosen = chooseDeputy(m_settings.self);
    if (chosen == m_mandate->deputy) {
        return;
    }
    decide(OwnershipEvents::DeputyChanged, {}, "shard {} deputy {}", m_settings.shard,
           chosen ? toString(*chosen) : "none");
    writeMandate(successorMandate(m_settings.self));
}

void Shard::handOver()
{
    const auto *const deputy = m_mandate->deputy ? aliveMember(*m_mandate->deputy) : nullptr;
    auto successor =
        deputy && deputy->status == MemberStatus::Alive ? m_mandate->deputy : chooseDeputy(m_settings.self);
    if (!successor) {
        return;
    }
    decide(OwnershipEvents::MandateHandedOver, {}, "shard {} to {}", m_settings.shard, toString(*successor));
    writeMandate(successorMandate(*successor));
}

Mandate Shard::successorMandate(const Identity &coordinator) const
{
    Mandate next;
    next.epoch = epoch() + 1;
    next.coordinator = coordinator;
    next.deputy = chooseDeputy(coordinator);
    if (!m_mandate) {
        return next;
    }
    std::set<Identity> former(m_mandate->former.begin(), m_mandate->former.end());
    former.insert(m_mandate->coordinator);
    if (m_mandate->deputy) {
        former.insert(*m_mandate->deputy);
    }
    former.erase(coordinator);
    next.former.assign(former.begin(), former.end());
    return next;
}

void Shard::writeMandate(Mandate mandate)
{
    m_nextMandateAt = m_now + mandateRetry;
    m_mandateWriter.start(m_now, toJson(mandate), *m_actions);
}

bool Shard::isCoordinatorLost() const
{
    return !m_mandate || !aliveMember(m_mandate->coordinator);
}

Duration Shard::takeoverDelay() const
{
    Duration delay{};
    if (m_mandate && m_mandate->deputy != m_settings.self) {
        delay += outsiderDelay;
    }
    for (const auto *it : rankedMembers()) {
        if (it->identity == m_settings.self || m_mandate == std::nullopt) {
            break;
        }
        delay += rankDelay;
    }
    const auto doublings = std::min(m_recentTakeovers, maxBackoffDoublings);
    return delay + takeoverBackoff * ((1 << doublings) - 1);
}

void Shard::considerTakeover()
{
    if (!m_mandateWriter.isKnown() || !aliveMember(m_settings.self) || m_stopping || !isCoordinatorLost()) {
        m_lostSince.reset();
        return;
    }
    if (!m_lostSince) {
        m_lostSince = m_now;
    }
    if (m_mandateWriter.isPending() || m_now < m_nextMandateAt || m_now < *m_lostSince + takeoverDelay()) {
        return;
    }
    writeMandate(successorMandate(m_settings.self));
}

void Shard::onMandateOutcome(WriteOutcome outcome)
{
    if (outcome == WriteOutcome::Abandoned) {
        m_nextMandateAt = m_now + mandateRetry + Duration(nextRandom(m_random) % mandateRetry.count());
    }
    adoptMandate();
    if (outcome == WriteOutcome::Applied && role() != ShardRole::None) {
        m_contactAt = m_mandateWriter.appliedSentAt();
        m_capLogged = false;
    }
}

void Shard::adoptMandate()
{
    const auto &object = m_mandateWriter.object();
    if (object.version == m_mandateVersion) {
        return;
    }
    m_mandateVersion = object.version;
    const auto mandate =
        tryOr([&]() -> Result<std::optional<Mandate>> { return mandateFromJson(object.value); },
              [&](ErrorCode, const std::string &text) {
                  decide(OwnershipEvents::MalformedObject, {}, "mandate {}: {}", m_settings.shard, text);
                  return std::optional<Mandate>();
              });
    if (!mandate) {
        return;
    }
    const bool isNewEpoch = !m_mandate || mandate->epoch > m_mandate->epoch;
    if (isNewEpoch) {
        enterEpoch(*mandate);
    }
    m_mandate = mandate;
    m_lostSince.reset();
    if (isNewEpoch) {
        reportRole();
    }
    sendUpdateToAll();
}

void Shard::enterEpoch(const Mandate &mandate)
{
    m_roleBefore = role();
    m_epochSince = m_now;
    m_stops.clear();
    m_reported.clear();
    m_stopCounter = 0;
    m_deputyCounter = 0;
    m_former = std::set<Identity>(mandate.former.begin(), mandate.former.end());
    m_former.erase(m_settings.self);
    m_formerBound = m_now;
    m_stamped = false;
    m_revoking.clear();
    m_sliceStops.clear();
    m_sliceStopCounter = 0;
    m_contactNonce = 0;
    if (mandate.coordinator != m_settings.self || m_roleBefore != ShardRole::Coordinator) {
        m_contactAt.reset();
        m_live.reset();
        m_free.clear();
        m_darkMoves.clear();
    }
    if (mandate.coordinator == m_settings.self) {
        // The platform's copy decides: peers may have older ones.
        m_assignmentFresh = false;
        m_nextWriteAt = m_now;
    }
}

void Shard::reportRole()
{
    const auto now = role();
    if (now == ShardRole::Coordinator && m_roleBefore != ShardRole::Coordinator) {
        ++m_recentTakeovers;
        m_lastTakeoverAt = m_now;
        decide(OwnershipEvents::MandateTaken, {}, "shard {} epoch {} deputy {}", m_settings.shard, epoch(),
               m_mandate->deputy ? toString(*m_mandate->deputy) : "none");
    } else if (m_roleBefore == ShardRole::Coordinator && now != ShardRole::Coordinator) {
        decide(OwnershipEvents::MandateLost, {}, "shard {} epoch {} now with {}", m_settings.shard, epoch(),
               toString(m_mandate->coordinator));
    }
}

void Shard::queryContact()
{
    const auto interval = m_contactAt && m_contactNonce == 0 ? contactInterval : contactRetry;
    if (m_now < m_contactAskedAt + interval) {
        return;
    }
    m_contactAskedAt = m_now;
    m_contactNonce = nextNonce(m_random);
    act(toPeer(m_mandate->coordinator.name,
               OwnershipMessages::ContactQuery{m_settings.shard, epoch(), m_contactNonce}));
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::ContactQuery &message)
{
    if (role() != ShardRole::Coordinator || message.epoch != epoch() || !m_contactAt) {
        return;
    }
    const auto age = duration_cast<milliseconds>(m_now - *m_contactAt).count() + 1;
    act(toPeer(event.sender.name, OwnershipMessages::ContactAnswer{m_settings.shard, epoch(), message.nonce, age}));
}

void Shard::receive(const PeerEvent &event, const OwnershipMessages::ContactAnswer &message)
{
    const bool isCurrent = role() == ShardRole::Deputy && message.epoch == epoch() && message.nonce == m_contactNonce;
    if (!isCurrent || event.sender != m_mandate->coordinator) {
        return;
    }
    // The age was measured after the query was sent, so the contact is at least this recent.
    const Instant contact = m_contactAskedAt - milliseconds(message.ageMs);
    m_contactAt = m_contactAt ? std::max(*m_contactAt, contact) : contact;
    m_capLogged = m_capLogged && !isEntitled();
    m_contactNonce = 0;
}

}
