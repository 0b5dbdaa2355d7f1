#include "ownership/shard_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
constexpr Duration replanInterval = seconds(1);
/// First placement waits this long for listed servers that have not replied yet.
constexpr Duration firstReplyPatience = milliseconds(600);
/// Slices that change owner for balance at the same time; each is unowned for about two message exchanges.
constexpr std::size_t maxBalanceMoves = 8;
/// Writes after an outage are spread over this time, so that the shards do not write at once.
constexpr Duration writeBackSpread = seconds(2);
constexpr Duration writeRetry = milliseconds(300);
}

Identity Shard::ownerOf(const SliceAssignment &slice) const
{
    return serverOf(*m_live, slice.owner);
}

bool Shard::isActive() const
{
    return role() == ShardRole::Coordinator && m_stamped && m_live && isEntitled();
}

void Shard::reconcile()
{
    if (role() != ShardRole::Coordinator || !isEntitled()) {
        return;
    }
    if (!m_stamped) {
        return stamp();
    }
    if (m_assignmentWriter.unansweredFor(m_now) > platformPatience) {
        markPlatformDown();
    }
    freeLostOwners();
    planTargets();
    revokeForMoves();
    writeChanges();
    moveAlongSuccession();
    sendGrants();
}

void Shard::stamp()
{
    if (!m_assignmentFresh && m_now >= m_nextWriteAt) {
        m_nextWriteAt = m_now + writeRetry;
        return m_assignmentWriter.read(*m_actions);
    }
    if (!m_assignmentFresh || m_assignmentWriter.isPending() || m_now < m_nextWriteAt) {
        return;
    }
    if (m_assignmentWriter.object().version == 0) {
        Assignment empty;
        empty.service = m_settings.document.service;
        empty.epoch = epoch();
        m_live = empty;
        m_stamped = true;
        m_activeSince = m_now;
        return;
    }
    if (!m_live) {
        m_live = parseAssignment(m_assignmentWriter.object().value);
    }
    if (!m_live) {
        return;
    }
    m_live->epoch = epoch();
    m_nextWriteAt = m_now + writeRetry;
    m_assignmentWriter.start(m_now, toJson(*m_live), *m_actions);
}

std::optional<Assignment> Shard::parseAssignment(const nlohmann::json &json)
{
    return tryOr([&]() -> Result<std::optional<Assignment>> { return assignmentFromJson(json); },
                 [&](ErrorCode, const std::string &text) {
                     decide(OwnershipEvents::MalformedObject, {}, "assignment {}: {}", m_settings.shard, text);
                     return std::optional<Assignment>();
                 });
}

void Shard::planTargets()
{
    const auto isSilent = [&](const auto &it) {
        return it.second.listed && it.second.boot == 0;
    };
    const bool isFirst = m_live->slices.empty();
    if (isFirst && m_now - m_activeSince < firstReplyPatience
        && std::any_of(m_servers.begin(), m_servers.end(), isSilent)) {
        return;
    }
    std::vector<Identity> usable;
    for (const auto &[name, record] : m_servers) {
        if (isUsable(record)) {
            usable.push_back(record.identity());
        }
    }
    const bool isChanged = usable != m_wantedUsable || m_wanted.empty();
    const bool isBusy =
        !m_revoking.empty() || !m_sliceStops.empty() || !m_free.empty() || m_assignmentWriter.isPending();
    if (!isChanged && (isBusy || m_now < m_plannedAt + replanInterval)) {
        return;
    }
    const double rate = m_settings.document.ownership.churnPercentPerMinute / 100;
    const std::chrono::duration<double, std::ratio<60>> elapsed = m_now - m_plannedAt;
    m_churnBudget = std::min(rate, m_churnBudget + rate * elapsed.count());
    m_plannedAt = m_now;
    m_wantedUsable = std::move(usable);
    const auto input = placementInput();
    m_wanted.clear();
    for (const auto &it : m_settings.policy(input)) {
        WantedSlice slice{it.range, input.servers[it.owner].identity, {}};
        for (const auto successor : it.successors) {
            slice.successors.push_back(input.servers[successor].identity);
        }
        m_wanted.push_back(std::move(slice));
    }
}

bool Shard::isSettled(const SliceGroup &group) const
{
    if (group.current.size() != 1 || group.wanted.size() != 1) {
        return false;
    }
    const auto &current = *group.current.front();
    const auto &wanted = *group.wanted.front();
    const auto isWell = [&](ServerIndex it) {
        const auto *const record = recordOf(serverOf(*m_live, it));
        return record && isUsable(*record);
    };
    return m_free.count(current.sequence) == 0 && ownerOf(current) == wanted.owner
        && current.successors.size() >= wanted.successors.size()
        && std::all_of(current.successors.begin(), current.successors.end(), isWell);
}

bool Shard::isReady(const SliceGroup &group) const
{
    const auto isWell = [&](const WantedSlice *it) {
        const auto *const record = recordOf(it->owner);
        return record && isUsable(*record) && !isStopped(it->owner);
    };
    const auto canChange = [&](const SliceAssignment *it) {
        const auto staysWith = [&](const WantedSlice *wanted) {
            return wanted->owner == ownerOf(*it);
        };
        const bool stays = std::all_of(group.wanted.begin(), group.wanted.end(), staysWith);
        const bool isFree = it->owner == noServer || m_free.count(it->sequence) != 0;
        const bool isMoving = m_revoking.count(it->sequence) != 0 || m_sliceStops.count(it->sequence) != 0;
        return isClear(*it) && (isFree || (stays && !isMoving));
    };
    return std::all_of(group.wanted.begin(), group.wanted.end(), isWell)
        && std::all_of(group.current.begin(), group.current.end(), canChange);
}

void Shard::revokeForMoves()
{
    if (m_assignmentWriter.isPending() || m_downSince) {
        return resendRevokes();
    }
    for (const auto &group : groupSlices(*m_live, m_wanted)) {
        if (isSettled(group) || isReady(group)) {
            continue;
        }
        for (const auto *it : group.current) {
            if (mayRevoke(*it, group)) {
                revoke(*it);
            }
        }
    }
    resendRevokes();
}

bool Shard::mayRevoke(const SliceAssignment &slice, const SliceGroup &group) const
{
    if (slice.owner == noServer || m_free.count(slice.sequence) != 0 || m_revoking.count(slice.sequence) != 0
        || m_sliceStops.count(slice.sequence) != 0) {
        return false;
    }
    const auto isWell = [&](const WantedSlice *it) {
        const auto *const record = recordOf(it->owner);
        return record && isUsable(*record);
    };
    const auto *const owner = recordOf(ownerOf(slice));
    const bool canAnswer = owner && isResponsive(*owner) && owner->epoch == epoch();
    if ((checksGrants() && !canAnswer) || !isClear(slice)
        || !std::all_of(group.wanted.begin(), group.wanted.end(), isWell)) {
        return false;
    }
    const bool isForBalance = owner && isUsable(*owner);
    const auto isOwnerStopped = [&](const SliceAssignment &it) {
        return isStopped(ownerOf(it));
    };
    const auto isAlive = [](const Member &it) {
        return it.status == MemberStatus::Alive;
    };
    // A move for balance is not worth a slice that stays unowned until a lost server or daemon is replaced.
    if (isForBalance
        && (std::any_of(m_live->slices.begin(), m_live->slices.end(), isOwnerStopped)
            || !std::all_of(m_members.begin(), m_members.end(), isAlive))) {
        return false;
    }
    return !isForBalance || m_revoking.size() + m_free.size() + m_sliceStops.size() < maxBalanceMoves;
}

void Shard::revoke(const SliceAssignment &slice)
{
    const double share = static_cast<double>(slice.range.last - slice.range.first) / static_cast<double>(~KeyHash(0));
    m_churnBudget = std::max(0.0, m_churnBudget - share);
    decide(OwnershipEvents::SliceRevoking, slice.range, "owner {}", toString(ownerOf(slice)));
    if (!checksGrants()) {
        return startSliceStop(slice);
    }
    m_revoking[slice.sequence] = {ownerOf(slice), slice.range, m_now - revokeResendInterval};
}

void Shard::resendRevokes()
{
    for (auto &[sequence, it] : m_revoking) {
        const auto server = m_servers.find(it.server.name);
        if (m_now < it.sentAt + revokeResendInterval || server == m_servers.end()
            || server->second.boot != it.server.boot) {
            continue;
        }
        it.sentAt = m_now;
        auto request = requestFor(server->second, GrantAction::Revoke);
        request.slices.push_back({it.range, sequence});
        act(CallServerAction{server->second.vm.name, server->second.vm.address, std::move(request)});
    }
}

void Shard::writeChanges()
{
    if (m_assignmentWriter.isPending() || m_now < m_nextWriteAt || m_wanted.empty()) {
        return;
    }
    AssignmentBuilder builder(*m_live, epoch());
    bool isChanged = !m_darkMoves.empty();
    for (const auto &group : groupSlices(*m_live, m_wanted)) {
        if (isSettled(group) || !isReady(group)) {
            for (const auto *it : group.current) {
                builder.keep(*it);
            }
            continue;
        }
        isChanged = true;
        for (const auto *it : group.wanted) {
            builder.add(*it);
        }
    }
    auto next = builder.take();
    if (!isChanged || next.slices.empty()) {
        return;
    }
    next.nextSequence = std::max(next.nextSequence, m_live->nextSequence + 1);
    m_assignmentWriter.start(m_now, toJson(next), *m_actions);
}

void Shard::onAssignmentOutcome(WriteOutcome outcome)
{
    if (role() != ShardRole::Coordinator) {
        return adoptStored();
    }
    const auto &object = m_assignmentWriter.object();
    m_assignmentFresh = m_assignmentFresh || outcome != WriteOutcome::None || m_assignmentWriter.isKnown();
    if (outcome == WriteOutcome::Abandoned) {
        m_nextWriteAt = m_now + writeRetry + Duration(nextRandom(m_random) % writeRetry.count());
    }
    if (outcome == WriteOutcome::Lost) {
        m_stamped = false;
        m_live.reset();
        m_nextWriteAt = m_now;
        m_mandateWriter.read(*m_actions);
    }
    if (outcome != WriteOutcome::Applied) {
        return;
    }
    auto stored = parseAssignment(object.value);
    if (!stored || stored->epoch != epoch()) {
        return;
    }
    overlayDarkMoves(*stored);
    decide(OwnershipEvents::AssignmentWritten, {}, "epoch {} next sequence {} version {}", stored->epoch,
           stored->nextSequence, object.version);
    setLive(std::move(*stored));
    if (m_stamped) {
        return;
    }
    m_stamped = true;
    m_activeSince = m_now;
    // Servers that were fenced before the write was acknowledged may hold slices since the last outage.
    for (const auto &[name, server] : m_servers) {
        adoptHeld(server);
    }
}

void Shard::overlayDarkMoves(Assignment &assignment) const
{
    for (auto &slice : assignment.slices) {
        const auto *const live = m_live ? m_live->find(slice.range.first) : nullptr;
        if (!live || m_darkMoves.count(live->sequence) == 0) {
            continue;
        }
        const auto holder = ownerOf(*live);
        for (std::size_t n = 0; n < slice.successors.size(); ++n) {
            if (serverOf(assignment, slice.successors[n]) != holder) {
                continue;
            }
            slice.owner = slice.successors[n];
            slice.sequence += n + 1;
            slice.successors.erase(slice.successors.begin(),
                                   slice.successors.begin() + static_cast<std::ptrdiff_t>(n + 1));
            assignment.nextSequence = std::max(assignment.nextSequence, m_live->nextSequence) + 1;
            break;
        }
    }
}

void Shard::setLive(Assignment assignment)
{
    std::set<std::uint64_t> present;
    for (const auto &it : assignment.slices) {
        present.insert(it.sequence);
    }
    const auto stored = parseAssignment(m_assignmentWriter.object().value);
    for (auto it = m_free.begin(); it != m_free.end();) {
        it = present.count(*it) != 0 ? std::next(it) : m_free.erase(it);
    }
    for (auto it = m_revoking.begin(); it != m_revoking.end();) {
        it = present.count(it->first) != 0 ? std::next(it) : m_revoking.erase(it);
    }
    pruneSliceStops(present);
    m_darkMoves.clear();
    for (const auto &it : assignment.slices) {
        const auto *const known = stored ? stored->find(it.range.first) : nullptr;
        if (!known || known->sequence != it.sequence) {
            m_darkMoves.insert(it.sequence);
        }
    }
    m_live = std::move(assignment);
    publish(*m_live);
}

void Shard::markPlatformUp()
{
    if (!m_downSince) {
        return;
    }
    m_downSince.reset();
    m_nextWriteAt = m_now + Duration(nextRandom(m_random) % static_cast<std::uint64_t>(writeBackSpread.count()));
    decide(OwnershipEvents::PlatformBack, {}, "shard {}", m_settings.shard);
}

void Shard::markPlatformDown()
{
    if (m_downSince) {
        return;
    }
    m_downSince = m_now;
    decide(OwnershipEvents::PlatformDown, {}, "shard {}", m_settings.shard);
}

void Shard::moveAlongSuccession()
{
    if (!m_downSince || m_free.empty() || !checksGrants()) {
        return;
    }
    auto next = *m_live;
    bool isChanged = false;
    for (auto &it : next.slices) {
        isChanged = (m_free.count(it.sequence) != 0 && moveToSuccessor(it)) || isChanged;
    }
    if (!isChanged) {
        return;
    }
    ++next.nextSequence;
    setLive(std::move(next));
}

bool Shard::moveToSuccessor(SliceAssignment &slice)
{
    if (!isClear(slice)) {
        return false;
    }
    for (std::size_t n = 0; n < slice.successors.size(); ++n) {
        const auto target = serverOf(*m_live, slice.successors[n]);
        const auto *const record = recordOf(target);
        if (!record || !isUsable(*record) || isStopped(target) || !pendingAllows(slice, target)) {
            continue;
        }
        slice.owner = slice.successors[n];
        slice.sequence += n + 1;
        slice.successors.erase(slice.successors.begin(), slice.successors.begin() + static_cast<std::ptrdiff_t>(n + 1));
        decide(OwnershipEvents::MovedAlongSuccession, slice.range, "to {} under {}", toString(target), slice.sequence);
        return true;
    }
    return false;
}

bool Shard::pendingAllows(const SliceAssignment &slice, const Identity &target) const
{
    const auto *const value = m_assignmentWriter.pendingValue();
    if (!value) {
        return true;
    }
    const auto pending = assignmentFromJson(*value);
    if (!pending) {
        return false;
    }
    // The next coordinator may find either version; it fences the servers that its version names for the slice.
    const auto *const it = pending->find(slice.range.first);
    if (!it || !(it->range == slice.range)) {
        return false;
    }
    const auto isTarget = [&](ServerIndex index) {
        return serverOf(*pending, index) == target;
    };
    return isTarget(it->owner) || std::any_of(it->successors.begin(), it->successors.end(), isTarget);
}

void Shard::adoptHeld(const ServerRecord &server)
{
    if (!isActive() || server.epoch != epoch() || !checksGrants()) {
        return;
    }
    for (const auto &held : server.held) {
        if (adoptSuccessor(server.identity(), held)) {
            continue;
        }
        const auto *const slice = m_live->find(held.range.first);
        const bool isOwn = slice && ownerOf(*slice) == server.identity() && held.sequence <= slice->sequence;
        if (isOwn || m_revoking.count(held.sequence) != 0) {
            continue;
        }
        decide(OwnershipEvents::StaleHolding, held.range, "{} under {}", toString(server.identity()), held.sequence);
        auto request = requestFor(server, GrantAction::Revoke);
        request.slices.push_back(held);
        act(CallServerAction{server.vm.name, server.vm.address, std::move(request)});
    }
}

bool Shard::adoptSuccessor(const Identity &server, const GrantedSlice &held)
{
    const auto *const slice = m_live->find(held.range.first);
    if (!slice || !(slice->range == held.range) || held.sequence <= slice->sequence) {
        return false;
    }
    const auto steps = held.sequence - slice->sequence;
    if (steps > slice->successors.size() || serverOf(*m_live, slice->successors[steps - 1]) != server) {
        return false;
    }
    auto next = *m_live;
    for (auto &it : next.slices) {
        if (!(it.range == held.range)) {
            continue;
        }
        it.owner = it.successors[steps - 1];
        it.sequence = held.sequence;
        it.successors.erase(it.successors.begin(), it.successors.begin() + static_cast<std::ptrdiff_t>(steps));
    }
    ++next.nextSequence;
    decide(OwnershipEvents::SuccessorAdopted, held.range, "{} under {}", toString(server), held.sequence);
    setLive(std::move(next));
    return true;
}

}
