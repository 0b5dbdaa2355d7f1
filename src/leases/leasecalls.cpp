#include "controller_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

/// Grant and release calls of the leader, their replies, and the moves of ranges between servers.
namespace Galenarock
{

namespace
{
/// Low bits of a fencing token: a counter within one epoch. The epoch is in the bits above.
constexpr unsigned SequenceBits = 24;
constexpr Duration RetryInterval = milliseconds(50);
/// Longer, since this process has too many calls already.
constexpr Duration LateRetryInterval = milliseconds(150);
/// Failed calls in a row after which a server's keys are moved. A single failure may be one broken connection.
constexpr std::uint32_t FailuresToMove = 2;
/// Time for which an unresponsive server gets no keys.
constexpr Duration MinExclusion = seconds(6);
/// The exclusion doubles up to this with each repetition, since every new attempt can make the keys of the server
/// unavailable for one grant duration.
constexpr Duration MaxExclusion = seconds(60);
/// Approximate time until the measured load reflects a move.
constexpr Duration RecentMove = seconds(2);
constexpr Duration JoinInterval = seconds(1);
constexpr Duration QuietBeforeJoin = seconds(4);
constexpr std::size_t RangesPerServer = 3;
/// Part of the leader's lease calls that moves may use; the rest is for renewals.
constexpr double MoveCallShare = 0.25;
/// A release and the first grant of the new holder.
constexpr double CallsPerMove = 2;
}

Instant LeaseController::Private::grantEnd(Instant arrivedBy) const
{
    const auto drift = duration_cast<Duration>(m_settings.grantDuration * m_settings.clockDrift);
    return arrivedBy + m_settings.grantDuration + drift;
}

Instant LeaseController::Private::latestGrantEnd(Instant madeBy) const
{
    return grantEnd(madeBy + m_settings.sendWithin + m_settings.callLifetime);
}

const LeaseServer *LeaseController::Private::server(const Identity &identity) const
{
    const auto it = std::find_if(m_servers.begin(), m_servers.end(),
                                 [&](const LeaseServer &entry) { return entry.identity == identity; });
    return it == m_servers.end() ? nullptr : &*it;
}

void LeaseController::Private::setServers(std::vector<LeaseServer> servers)
{
    if (m_servers != servers) {
        m_serversChangedAt = m_now;
        m_serversKnownAt = m_servers.empty() ? m_now : m_serversKnownAt;
    }
    m_servers = std::move(servers);
    if (m_role != LeaseRole::Leader) {
        return;
    }
    adoptRestarts();
    m_nextPlanAt = m_now;
    runAsLeader();
}

void LeaseController::Private::adoptRestarts()
{
    for (auto &slice : m_slices.all()) {
        const auto restarted = std::find_if(m_servers.begin(), m_servers.end(), [&](const LeaseServer &it) {
            return it.identity.name == slice.holder.name && it.identity.boot > slice.holder.boot;
        });
        if (restarted == m_servers.end()) {
            continue;
        }
        restartHolder(slice, restarted->identity);
    }
}

/// The grants of the earlier process are void, but the latest ones may have reached the new process, which then holds
/// the keys. So the new process becomes the holder: it can be granted the keys again or release them at once.
void LeaseController::Private::restartHolder(LeaseSlice &slice, const Identity &restarted)
{
    decide(LeaseEvents::HolderUnresponsive, slice.range, fmt::format("{} has restarted", toString(slice.holder)));
    if (slice.openCall != 0) {
        slice.unansweredUntil = std::max(slice.unansweredUntil, latestGrantEnd(m_now));
    }
    dropToken(slice);
    slice.holder = restarted;
    slice.openCall = 0;
    slice.isReleasing = false;
    slice.isGranted = false;
    slice.failures = 0;
    slice.nextCallAt = m_now;
    m_isTableStale = true;
}

bool LeaseController::Private::isExcluded(const Identity &server) const
{
    const auto found = m_exclusions.find(server);
    return found != m_exclusions.end() && m_now < found->second.until;
}

LeasePlanLimits LeaseController::Private::planLimits() const
{
    const auto inSeconds = [](Duration duration) {
        return std::chrono::duration<double>(duration).count();
    };
    const auto renewableRanges = (1 - MoveCallShare) * m_settings.callsPerSecond * inSeconds(m_settings.renewEvery);
    const auto movesPerPlan =
        MoveCallShare * m_settings.callsPerSecond * inSeconds(m_settings.planEvery) / CallsPerMove;
    LeasePlanLimits limits;
    limits.minRangeWidth = m_settings.minRangeWidth;
    limits.maxRanges = std::max(m_servers.size(), static_cast<std::size_t>(renewableRanges));
    limits.maxBalancingMoves = std::max<std::size_t>(1, static_cast<std::size_t>(movesPerPlan));
    return limits;
}

/// Whether earlier grants without an answer may be in force at the holder, which a grant with a higher token ends at
/// once. After a release alone, the range could go to another server only when they have ended.
bool LeaseController::Private::isGrantDue(const LeaseSlice &slice) const
{
    const bool isResponsive = slice.failures < FailuresToMove || isFormerWaitLong(slice);
    return !slice.isGranted && m_now < slice.unansweredUntil && isResponsive && server(slice.holder);
}

/// Whether the grants of an earlier leader may be in force for longer than another grant of this one. A move would have
/// to wait for them, while a holder that answers again can be granted the range at once.
bool LeaseController::Private::isFormerWaitLong(const LeaseSlice &slice) const
{
    return latestGrantEnd(m_now) < slice.unansweredUntil;
}

void LeaseController::Private::plan()
{
    std::vector<LeaseServer> usable;
    std::copy_if(m_servers.begin(), m_servers.end(), std::back_inserter(usable),
                 [&](const LeaseServer &it) { return !isExcluded(it.identity); });
    auto limits = planLimits();
    if (usable.size() * 2 < m_servers.size()) {
        // When most servers seem silent, this VM is late or cut off. Moving their keys would not help.
        usable = m_servers;
        limits.maxBalancingMoves = 0;
    }
    std::vector<PlannedSlice> slices;
    for (auto &it : m_slices.all()) {
        const bool isWaiting = m_slices.otherPossibleHolder(it.range, it.holder) != nullptr;
        const bool isLost = !server(it.holder);
        const bool mayHold = m_now < it.holdsUntil || m_now < it.unansweredUntil;
        if (isLost && isWaiting && !it.isBusy() && it.fencingToken == 0 && !mayHold) {
            it.holder = {}; // planned as the next holder, but never sent a grant
        }
        const bool mayMove =
            it.openCall == 0 && !it.isBusy() && (!isWaiting || it.holder.name.empty()) && !isGrantDue(it);
        // The load of a range that is moving is planned for its next holder, which would else get another one.
        slices.push_back({it.range, it.target.value_or(it.holder), !mayMove, m_now - it.changedAt < RecentMove});
    }
    for (const auto &it : planLeaseMoves(slices, usable, currentLoad(), limits)) {
        auto *slice = m_slices.isolate(it.range);
        if (!slice || slice->holder == it.target) {
            continue;
        }
        slice->target = it.target;
        slice->changedAt = m_now;
        slice->nextCallAt = m_now;
        decide(LeaseEvents::MovePlanned, it.range, fmt::format("from {} to {}", slice->holder.name, it.target.name));
    }
}

void LeaseController::Private::sendDueCalls()
{
    for (auto &it : m_slices.all()) {
        if (it.isGranted && m_now >= it.grantedUntil) {
            it.isGranted = false;
            decide(LeaseEvents::HolderUnresponsive, it.range,
                   fmt::format("the grant of {} has expired", it.holder.name));
        }
        sendDueCall(it);
    }
}

void LeaseController::Private::sendDueCall(LeaseSlice &slice)
{
    const bool hasEnded = m_now >= slice.holdsUntil && m_now >= slice.unansweredUntil;
    if (slice.target
        && (slice.holder.name.empty() || (hasEnded && slice.openCall == 0) || (hasEnded && slice.isReleasing))) {
        finishRelease(slice, true);
    }
    if (slice.openCall != 0 || m_now < slice.nextCallAt || mayBeHandedOver()) {
        return;
    }
    if (slice.target) {
        sendMoveCall(slice);
        return;
    }
    if (slice.holder.name.empty() || !server(slice.holder) || !isRecorded(slice.range, slice.holder)) {
        return;
    }
    // An unresponsive holder gets another grant only after its earlier ones have expired: each grant without a reply
    // may still take effect and delays the move of the range, unless that has to wait for an earlier leader anyway.
    const bool mayBeHeldByOther = m_slices.otherPossibleHolder(slice.range, slice.holder) != nullptr;
    const bool isSuspended = slice.failures >= FailuresToMove && !hasEnded && !isFormerWaitLong(slice);
    if (isSuspended || (mayBeHeldByOther && !slice.isGranted)) {
        return;
    }
    sendGrant(slice);
}

/// While the store does not answer, the holder keeps the range: once released, the range has no owner until the record
/// names the next one.
void LeaseController::Private::sendMoveCall(LeaseSlice &slice)
{
    if (slice.isReleasing || !server(slice.holder) || mayRelease(slice)) {
        sendRelease(slice);
        return;
    }
    readRecord();
    if (isRenewalDue(slice)) {
        sendGrant(slice);
    }
}

bool LeaseController::Private::mayRelease(const LeaseSlice &slice) const
{
    const bool isStoreAnswering = m_now < m_leadProof.storeValidUntil() && m_unresolvedWrites.empty();
    return isRecorded(slice.range, *slice.target) || (isStoreAnswering && isStoreSteady());
}

bool LeaseController::Private::isRenewalDue(const LeaseSlice &slice) const
{
    return slice.isGranted && m_now >= slice.grantedUntil - m_settings.grantDuration + m_settings.renewEvery;
}

void LeaseController::Private::sendGrant(LeaseSlice &slice)
{
    const auto *holder = server(slice.holder);
    if (!holder) {
        return;
    }
    // With a higher fencing token the server rejects every earlier grant that may still arrive.
    const bool needsToken = slice.fencingToken == 0 || slice.unansweredUntil > m_now;
    if ((needsToken || slice.connection == 0) && !isLeadProven(slice)) {
        return;
    }
    if (needsToken) {
        takeToken(slice);
    }
    LeaseCall call;
    call.command = LeaseCommand::Grant;
    // A later process of the server must not get the keys under the token of the earlier one.
    call.connection = slice.connection;
    call.grantDuration = m_settings.grantDuration;
    call.releaseProof = slice.releaseProof;
    call.address = holder->address;
    call.unheldRange = unheldRange(slice.holder);
    send(slice, std::move(call));
}

/// The narrowest range, so that a late release of it harms little if the server has got the range meanwhile.
std::optional<SliceRange> LeaseController::Private::unheldRange(const Identity &server) const
{
    const auto &slices = m_slices.all();
    const auto it = std::find_if(slices.begin(), slices.end(), [&](const LeaseSlice &slice) {
        return !slice.holder.name.empty() && slice.holder.name != server.name
            && (!slice.target || slice.target->name != server.name);
    });
    if (it == slices.end()) {
        return std::nullopt;
    }
    return SliceRange{it->range.first, it->range.first + m_settings.minRangeWidth - 1};
}

/// Whether a call may go to a process that this leader has not granted keys to before. It has seen no token of a
/// successor, so it would accept one of a leader that has lost the lead; a successor makes no such call before the
/// evidence of its predecessor has ended. An accepted token needs no proof, since it goes only to the process that has
/// accepted it.
bool LeaseController::Private::isLeadProven(LeaseSlice &slice)
{
    if (m_now < m_leadProof.validUntil() && !mayFormerLeaderGrant()) {
        return true;
    }
    readRecord();
    slice.nextCallAt = m_now;
    return false;
}

void LeaseController::Private::takeToken(LeaseSlice &slice)
{
    slice.fencingToken = (std::uint64_t(m_tokenEpoch) << SequenceBits) | ++m_nextSequence;
    slice.connection = 0;
}

void LeaseController::Private::sendRelease(LeaseSlice &slice)
{
    const auto *holder = server(slice.holder);
    if (holder && !isLeadProven(slice)) {
        return;
    }
    slice.isReleasing = true;
    m_isTableStale = true;
    if (!holder) {
        finishRelease(slice, false);
        return;
    }
    if (slice.fencingToken == 0) {
        takeToken(slice);
    }
    LeaseCall call;
    call.command = LeaseCommand::Release;
    call.address = holder->address;
    send(slice, std::move(call));
}

void LeaseController::Private::dropToken(LeaseSlice &slice)
{
    slice.fencingToken = 0;
    slice.connection = 0;
}

void LeaseController::Private::send(LeaseSlice &slice, LeaseCall call)
{
    call.service = m_settings.service;
    call.server = slice.holder;
    call.range = slice.range;
    call.fencingToken = slice.fencingToken;
    call.callNumber = m_nextCallNumber++;
    call.sendBefore = m_now + m_settings.sendWithin;
    if (call.connection == 0) {
        call.sendBefore = std::min(call.sendBefore, m_leadProof.validUntil());
    }
    slice.openCall = call.callNumber;
    slice.nextCallAt = m_now + m_settings.renewEvery;
    m_actions.calls.push_back(std::move(call));
}

void LeaseController::Private::finishRelease(LeaseSlice &slice, bool isAnswered)
{
    const auto until = isAnswered ? slice.unansweredUntil : std::max(slice.holdsUntil, slice.unansweredUntil);
    if (!slice.holder.name.empty() && until > m_now) {
        m_slices.addPossibleHolder({slice.range, slice.holder, until});
    }
    m_isTableStale = true;
    decide(LeaseEvents::Released, slice.range,
           fmt::format("{} {}, next {}, fencing token {}; it may hold the range for {} ms more", toString(slice.holder),
                       isAnswered ? "released" : "did not respond", slice.target->name, slice.fencingToken,
                       duration_cast<milliseconds>(std::max(until, m_now) - m_now).count()));
    slice.holder = *slice.target;
    slice.target.reset();
    dropToken(slice);
    slice.failures = 0;
    slice.isGranted = false;
    slice.isReleasing = false;
    slice.openCall = 0;
    slice.releaseProof.clear();
    slice.holdsUntil = slice.targetHoldsUntil;
    slice.unansweredUntil = slice.targetHoldsUntil;
    slice.targetHoldsUntil = {};
    slice.nextCallAt = m_now;
    slice.changedAt = m_now;
}

void LeaseController::Private::onReply(const LeaseReplyEvent &event)
{
    if (event.call.service != m_settings.service || m_role != LeaseRole::Leader) {
        return;
    }
    auto *slice = m_slices.withOpenCall(event.call.callNumber);
    if (!slice || slice->holder != event.call.server) {
        return;
    }
    slice->openCall = 0;
    ++m_replyCounts[static_cast<std::size_t>(event.status)];
    if (event.status == LeaseCallStatus::Accepted) {
        m_exclusions.erase(event.call.server);
    }
    if (event.call.command == LeaseCommand::Grant) {
        onGrantReply(*slice, event);
    } else {
        onReleaseReply(*slice, event);
    }
    if (m_isTableStale) {
        runAsLeader(); // sends the next call of a move without waiting for the tick
    }
}

void LeaseController::Private::onGrantReply(LeaseSlice &slice, const LeaseReplyEvent &event)
{
    switch (event.status) {
    case LeaseCallStatus::Accepted:
        m_isTableStale = m_isTableStale || !slice.isGranted;
        if (!slice.isGranted || event.call.connection == 0) {
            decide(LeaseEvents::Granted, slice.range,
                   fmt::format("{} with fencing token {}{}", toString(slice.holder), event.call.fencingToken,
                               slice.unansweredUntil > m_now ? ", after grants without an answer" : ""));
        }
        m_leadProof.accepted(event.endedAt);
        slice.isGranted = true;
        slice.grantedUntil = event.sentAt + m_settings.grantDuration;
        slice.connection = event.connection;
        slice.holdsUntil = grantEnd(event.endedAt);
        slice.unansweredUntil = {};
        slice.failures = 0;
        slice.releaseProof.clear();
        return;
    case LeaseCallStatus::Outdated:
        decide(LeaseEvents::FencingTokenOutdated, slice.range,
               fmt::format("{} has seen a higher fencing token than {}", slice.holder.name, event.call.fencingToken));
        m_isConfirmed = false;
        m_nextReadAt = m_now;
        countAsUnanswered(slice, event);
        slice.nextCallAt = m_now + RetryInterval;
        return;
    case LeaseCallStatus::Late:
        slice.nextCallAt = m_now + LateRetryInterval;
        return;
    case LeaseCallStatus::Reconnected:
        dropToken(slice);
        slice.nextCallAt = m_now;
        sendDueCall(slice);
        return;
    case LeaseCallStatus::Unknown:
        countAsUnanswered(slice, event); // the server may have accepted it, over a connection that is not known
        break;
    case LeaseCallStatus::Refused:
        if (event.connection != 0) { // otherwise the check of the connection was refused, and no grant was sent
            countAsUnanswered(slice, event);
            slice.releaseProof.clear(); // the proof may be what the server refuses
        }
        break;
    case LeaseCallStatus::NotSent:
        break;
    }
    ++slice.failures;
    slice.nextCallAt =
        m_now + (isFormerWaitLong(slice) && slice.failures >= FailuresToMove ? m_settings.renewEvery : RetryInterval);
    if (slice.failures == FailuresToMove) {
        auto &exclusion = m_exclusions[slice.holder];
        if (exclusion.until <= m_now) {
            exclusion.length = std::clamp(2 * exclusion.length, MinExclusion, MaxExclusion);
            exclusion.until = m_now + exclusion.length;
        }
        m_nextPlanAt = m_now;
        decide(
            LeaseEvents::HolderUnresponsive, slice.range,
            fmt::format("{} does not answer: {}; it may hold the range for {} ms more", slice.holder.name, event.detail,
                        duration_cast<milliseconds>(std::max({m_now, slice.holdsUntil, slice.unansweredUntil}) - m_now)
                            .count()));
    }
}

/// The server may hold the range by this grant, whatever the reply says: replies do not name their call, and this one
/// may be that to an earlier grant.
void LeaseController::Private::countAsUnanswered(LeaseSlice &slice, const LeaseReplyEvent &event)
{
    slice.unansweredUntil = std::max(slice.unansweredUntil, grantEnd(event.endedAt + m_settings.deliveryAllowance));
    dropToken(slice);
}

void LeaseController::Private::onReleaseReply(LeaseSlice &slice, const LeaseReplyEvent &event)
{
    if (!slice.isReleasing || !slice.target) {
        return;
    }
    if (event.status == LeaseCallStatus::Accepted) {
        finishRelease(slice, true);
        slice.releaseProof = event.releaseProof;
        return;
    }
    if (event.status == LeaseCallStatus::Late) {
        slice.nextCallAt = m_now + LateRetryInterval;
        return;
    }
    slice.nextCallAt = m_now + RetryInterval;
    if (++slice.failures >= FailuresToMove) {
        finishRelease(slice, false);
    }
}

void LeaseController::Private::joinQuietSlices()
{
    // The joined range needs a new token.
    if (m_now < m_nextJoinAt || m_openWrite != 0 || m_now >= m_leadProof.validUntil()) {
        return;
    }
    m_nextJoinAt = m_now + JoinInterval;
    if (m_slices.all().size() <= std::min(RangesPerServer * m_servers.size(), planLimits().maxRanges / 2)) {
        return;
    }
    const auto isQuiet = [&](const LeaseSlice &it) {
        return it.isGranted && !it.isBusy() && it.openCall == 0 && it.failures == 0
            && m_now - it.changedAt >= QuietBeforeJoin && it.unansweredUntil <= m_now;
    };
    m_slices.join(
        [&](const LeaseSlice &a, const LeaseSlice &b) { return a.holder == b.holder && isQuiet(a) && isQuiet(b); },
        [&](LeaseSlice &it) {
            dropToken(it);
            it.nextCallAt = m_now;
        });
}

}
