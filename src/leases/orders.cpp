#include "controller_p.h"

#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"

/// Grants, renewals, releases and moves of the daemon that leads.
namespace Galenarock
{

namespace
{
/// Bits of a fencing token below the epoch; changes of one leader.
constexpr unsigned SequenceBits = 24;
constexpr Duration RetryInterval = milliseconds(50);
/// An order that waits longer in this process is not sent: the state that it was decided on is old.
constexpr Duration SendWithin = milliseconds(250);
/// Unanswered orders in a row after which a server's keys are moved. One may be a single broken connection.
constexpr std::uint32_t FailuresToMove = 2;
/// A server that was silent gets keys again after this time.
constexpr Duration SilenceMemory = seconds(6);
/// Doubled each time that it is silent again, since every trial costs its keys a term.
constexpr Duration LongestSilenceMemory = seconds(60);
/// About the time in which the measured load follows a move.
constexpr Duration RecentMove = seconds(2);
constexpr Duration JoinInterval = seconds(1);
constexpr Duration QuietBeforeJoin = seconds(4);
constexpr std::size_t RangesPerServer = 3;
}

Instant LeaseController::Private::termEnd(Instant sentAt) const
{
    const auto drift = duration_cast<Duration>(m_settings.grantDuration * m_settings.clockDrift);
    return sentAt + m_settings.deliveryAllowance + m_settings.grantDuration + drift;
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
    for (auto &slice : m_slices.all()) {
        const bool hasRestarted = std::any_of(m_servers.begin(), m_servers.end(), [&](const LeaseServer &it) {
            return it.identity.name == slice.holder.name && it.identity.boot > slice.holder.boot;
        });
        if (!hasRestarted) {
            continue;
        }
        m_isTableStale = true;
        // The earlier process is gone and with it all that it held.
        decide(LeaseEvents::HolderSilent, slice.range, fmt::format("{} has restarted", toString(slice.holder)));
        slice.openOrder = 0;
        slice.isReleasing = false;
        slice.isGranted = false;
        slice.holder = {};
        slice.holdsUntil = {};
        slice.unansweredUntil = {};
    }
    m_nextPlanAt = m_now;
    lead();
}

void LeaseController::Private::plan()
{
    std::vector<LeaseServer> usable;
    for (const auto &it : m_servers) {
        const auto silent = m_silences.find(it.identity);
        if (silent == m_silences.end() || silent->second.until <= m_now) {
            usable.push_back(it);
        }
    }
    std::vector<PlannedSlice> slices;
    for (auto &it : m_slices.all()) {
        const bool isWaiting = m_slices.possibleOther(it.range, it.holder) != nullptr;
        const bool isLost = !server(it.holder);
        const bool mayHold = m_now < it.holdsUntil || m_now < it.unansweredUntil;
        if (isLost && isWaiting && !it.isBusy() && it.fence == 0 && !mayHold) {
            it.holder = {}; // chosen as next, but never ordered
        }
        const bool mayMove = it.openOrder == 0 && !it.isBusy() && (!isWaiting || it.holder.name.empty());
        slices.push_back({it.range, it.holder, !mayMove, m_now - it.changedAt < RecentMove});
    }
    for (const auto &it : planLeaseMoves(slices, usable, currentLoad(), m_settings.minRangeWidth)) {
        auto *slice = m_slices.isolate(it.range);
        if (!slice || slice->holder == it.target) {
            continue;
        }
        slice->target = it.target;
        slice->changedAt = m_now;
        decide(LeaseEvents::MovePlanned, it.range, fmt::format("from {} to {}", slice->holder.name, it.target.name));
    }
}

void LeaseController::Private::orderAll()
{
    for (auto &it : m_slices.all()) {
        if (it.isGranted && m_now >= it.grantedUntil) {
            it.isGranted = false;
            decide(LeaseEvents::HolderSilent, it.range, fmt::format("the term of {} has ended", it.holder.name));
        }
        order(it);
    }
}

void LeaseController::Private::order(LeaseSlice &slice)
{
    const bool hasEnded = m_now >= slice.holdsUntil && m_now >= slice.unansweredUntil;
    if (slice.target
        && (slice.holder.name.empty() || (hasEnded && slice.openOrder == 0) || (hasEnded && slice.isReleasing))) {
        if (isRecorded(slice.range, *slice.target)) {
            finishRelease(slice, true);
        }
    }
    if (slice.openOrder != 0 || m_now < slice.nextOrderAt) {
        return;
    }
    if (slice.target) {
        if (isRecorded(slice.range, *slice.target)) {
            sendRelease(slice);
        } else if (slice.isGranted) {
            sendGrant(slice);
        }
        return;
    }
    if (slice.holder.name.empty() || !server(slice.holder) || !isRecorded(slice.range, slice.holder)) {
        return;
    }
    // A silent holder is asked again only when its earlier terms have ended, since each unanswered grant adds one.
    if ((slice.failures >= FailuresToMove && !hasEnded) || m_slices.possibleOther(slice.range, slice.holder)) {
        return;
    }
    sendGrant(slice);
}

void LeaseController::Private::sendGrant(LeaseSlice &slice)
{
    const auto *holder = server(slice.holder);
    if (!holder) {
        return;
    }
    if (slice.fence == 0 || slice.unansweredUntil > m_now) {
        // A new number makes the server refuse every earlier grant that it may still receive.
        slice.fence = (std::uint64_t(m_epoch) << SequenceBits) | ++m_nextSequence;
    }
    LeaseCall call;
    call.command = LeaseCommand::Grant;
    call.grantDuration = m_settings.grantDuration;
    call.releaseProof = slice.handover;
    call.address = holder->address;
    send(slice, std::move(call));
}

void LeaseController::Private::sendRelease(LeaseSlice &slice)
{
    const auto *holder = server(slice.holder);
    slice.isReleasing = true;
    m_isTableStale = true;
    if (!holder) {
        finishRelease(slice, false);
        return;
    }
    if (slice.fence == 0) {
        slice.fence = (std::uint64_t(m_epoch) << SequenceBits) | ++m_nextSequence;
    }
    LeaseCall call;
    call.command = LeaseCommand::Release;
    call.address = holder->address;
    send(slice, std::move(call));
}

void LeaseController::Private::send(LeaseSlice &slice, LeaseCall call)
{
    call.service = m_settings.service;
    call.server = slice.holder;
    call.range = slice.range;
    call.fencingToken = slice.fence;
    call.callNumber = m_nextOrder++;
    call.sendBefore = m_now + SendWithin;
    slice.openOrder = call.callNumber;
    slice.nextOrderAt = m_now + m_settings.renewEvery;
    m_actions.calls.push_back(std::move(call));
}

void LeaseController::Private::finishRelease(LeaseSlice &slice, bool isAnswered)
{
    const auto until = isAnswered ? slice.unansweredUntil : std::max(slice.holdsUntil, slice.unansweredUntil);
    if (!slice.holder.name.empty() && until > m_now) {
        m_slices.addPossible({slice.range, slice.holder, until});
    }
    m_isTableStale = true;
    decide(LeaseEvents::Released, slice.range,
           fmt::format("{} {}, next {}", slice.holder.name, isAnswered ? "released" : "is silent", slice.target->name));
    slice.holder = *slice.target;
    slice.target.reset();
    slice.fence = 0;
    slice.failures = 0;
    slice.isGranted = false;
    slice.isReleasing = false;
    slice.openOrder = 0;
    slice.handover.clear();
    slice.holdsUntil = slice.targetHoldsUntil;
    slice.unansweredUntil = slice.targetHoldsUntil;
    slice.targetHoldsUntil = {};
    slice.nextOrderAt = m_now;
    slice.changedAt = m_now;
}

void LeaseController::Private::onReply(const LeaseReplyEvent &event)
{
    if (event.call.service != m_settings.service || m_role != LeaseRole::Leader) {
        return;
    }
    auto *slice = m_slices.withOrder(event.call.callNumber);
    if (!slice || slice->holder != event.call.server) {
        return;
    }
    slice->openOrder = 0;
    if (event.status == LeaseCallStatus::Accepted) {
        m_silences.erase(event.call.server);
    }
    if (event.call.command == LeaseCommand::Grant) {
        onGrantReply(*slice, event);
    } else {
        onReleaseReply(*slice, event);
    }
    if (m_isTableStale) {
        lead(); // the next order of a move does not wait for the tick
    }
}

void LeaseController::Private::onGrantReply(LeaseSlice &slice, const LeaseReplyEvent &event)
{
    switch (event.status) {
    case LeaseCallStatus::Accepted:
        if (!slice.isGranted) {
            m_isTableStale = true;
            decide(LeaseEvents::Granted, slice.range,
                   fmt::format("{} under {}", slice.holder.name, event.call.fencingToken));
        }
        slice.isGranted = true;
        slice.grantedUntil = event.sentAt + m_settings.grantDuration;
        slice.holdsUntil = termEnd(event.sentAt);
        slice.unansweredUntil = {};
        slice.failures = 0;
        slice.handover.clear();
        return;
    case LeaseCallStatus::Outdated:
        decide(LeaseEvents::OrderOutdated, slice.range,
               fmt::format("{} has seen a higher number than {}", slice.holder.name, event.call.fencingToken));
        m_isConfirmed = false;
        m_nextReadAt = m_now;
        slice.fence = 0;
        slice.nextOrderAt = m_now + RetryInterval;
        return;
    case LeaseCallStatus::Unknown:
        slice.unansweredUntil = std::max(slice.unansweredUntil, termEnd(event.sentAt));
        break;
    case LeaseCallStatus::Refused:
    case LeaseCallStatus::NotSent:
        break;
    }
    ++slice.failures;
    slice.nextOrderAt = m_now + RetryInterval;
    if (slice.failures == FailuresToMove) {
        auto &silence = m_silences[slice.holder];
        if (silence.until <= m_now) {
            silence.memory = std::clamp(2 * silence.memory, SilenceMemory, LongestSilenceMemory);
            silence.until = m_now + silence.memory;
        }
        m_nextPlanAt = m_now;
        decide(LeaseEvents::HolderSilent, slice.range,
               fmt::format(
                   "{} does not answer; it may hold the range for {} ms more", slice.holder.name,
                   duration_cast<milliseconds>(std::max(slice.holdsUntil, slice.unansweredUntil) - m_now).count()));
    }
}

void LeaseController::Private::onReleaseReply(LeaseSlice &slice, const LeaseReplyEvent &event)
{
    if (!slice.isReleasing || !slice.target) {
        return;
    }
    if (event.status == LeaseCallStatus::Accepted) {
        finishRelease(slice, true);
        slice.handover = event.releaseProof;
        return;
    }
    slice.nextOrderAt = m_now + RetryInterval;
    if (++slice.failures >= FailuresToMove) {
        finishRelease(slice, false);
    }
}

void LeaseController::Private::joinQuietSlices()
{
    if (m_now < m_nextJoinAt || m_openWrite != 0) {
        return;
    }
    m_nextJoinAt = m_now + JoinInterval;
    if (m_slices.all().size() <= RangesPerServer * m_servers.size()) {
        return;
    }
    const auto isQuiet = [&](const LeaseSlice &it) {
        return it.isGranted && !it.isBusy() && it.openOrder == 0 && it.failures == 0
            && m_now - it.changedAt >= QuietBeforeJoin && it.unansweredUntil <= m_now;
    };
    m_slices.join(
        [&](const LeaseSlice &a, const LeaseSlice &b) { return a.holder == b.holder && isQuiet(a) && isQuiet(b); },
        [&](LeaseSlice &it) {
            it.fence = 0;
            it.nextOrderAt = m_now;
        });
}

}
