#include "ownership/shard_p.h"

#include <algorithm>

namespace Galenarock
{

namespace
{
/// A record without a listing, a slice and a reply is dropped after this time.
constexpr Duration forgetAfter = seconds(60);
/// Only one call is under way to a server: with two, each reply replaces the nonce that the other call carries, and
/// both would be refused without end. A call without a result is given up after this time.
constexpr Duration callPatience = milliseconds(350);
}

bool Shard::isResponsive(const ServerRecord &server) const
{
    const auto silentSince = std::max(server.lastReplyAt.value_or(server.listedAt), m_resumedAt);
    return server.boot != 0 && m_now - silentSince < suspectAfter;
}

bool Shard::isUsable(const ServerRecord &server) const
{
    return server.listed && server.vm.state == VmState::Live && server.state != ServerState::Draining
        && isResponsive(server) && (!checksGrants() || server.epoch == epoch());
}

const ServerRecord *Shard::recordOf(const Identity &server) const
{
    const auto it = m_servers.find(server.name);
    return it != m_servers.end() && it->second.boot == server.boot ? &it->second : nullptr;
}

void Shard::tickServers()
{
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        auto &server = it->second;
        const auto lastSeen = server.lastReplyAt.value_or(server.listedAt);
        if (!server.listed && m_now - lastSeen > forgetAfter) {
            it = m_servers.erase(it);
            continue;
        }
        if (role() != ShardRole::None && (!server.lastSentAt || m_now >= *server.lastSentAt + renewInterval)) {
            callServer(server);
        }
        ++it;
    }
}

GrantRequest Shard::requestFor(const ServerRecord &server, GrantAction action) const
{
    GrantRequest request;
    request.service = m_settings.document.service;
    request.sender = m_settings.self;
    request.boot = server.boot;
    request.epoch = epoch();
    request.nonce = server.nonce;
    request.termMs = m_settings.document.ownership.termMs;
    request.action = action;
    return request;
}

void Shard::sendCall(ServerRecord &server, GrantRequest request)
{
    server.lastSentAt = m_now;
    server.callSentAt = m_now;
    server.needsCall = false;
    if (request.action == GrantAction::Renew || request.action == GrantAction::Grant) {
        // A nonce serves for one call: the reply to the first one replaces it, so a second one would be refused.
        server.nonce = 0;
    }
    act(CallServerAction{server.vm.name, server.vm.address, std::move(request)});
}

bool Shard::isCalling(const ServerRecord &server) const
{
    return server.callSentAt && m_now < *server.callSentAt + callPatience;
}

void Shard::callServer(ServerRecord &server)
{
    const bool isSilent = server.boot == 0 || server.nonce == 0;
    if (isSilent || !checksGrants() || !isEntitled() || isStopped(server.identity())) {
        return sendCall(server, requestFor(server, GrantAction::Poll));
    }
    if (server.epoch < epoch()) {
        return sendCall(server, requestFor(server, GrantAction::Fence));
    }
    sendCall(server, requestFor(server, GrantAction::Renew));
}

void Shard::on(const GrantReplyEvent &event)
{
    const auto it = m_servers.find(event.server);
    if (it == m_servers.end() || event.request.sender != m_settings.self) {
        return;
    }
    auto &server = it->second;
    if (event.request.action != GrantAction::Revoke && server.callSentAt && event.sentAt >= *server.callSentAt) {
        server.callSentAt.reset();
    }
    if (!event.reply) {
        return;
    }
    learnBoot(server, event);
    if (event.reply->boot != server.boot) {
        return;
    }
    if (event.reply->epoch > epoch()) {
        // Another daemon has taken the mandate; what it says decides.
        m_mandateWriter.read(*m_actions);
    }
    const bool isLate = server.lastReplyAt && event.sentAt < server.repliedSentAt;
    learnReply(server, event);
    if (event.request.action == GrantAction::Revoke) {
        return onRevokeReply(event);
    }
    if (event.request.action == GrantAction::Grant && event.reply->reason == "old-sequence") {
        renewSequences(server, event);
    }
    const bool isRefusedNonce = event.reply->reason == "old-nonce";
    const bool isIdle = event.request.action == GrantAction::Poll || event.request.action == GrantAction::Fence;
    server.needsCall = checksGrants() && !isLate && (isIdle || isRefusedNonce);
}

void Shard::learnBoot(ServerRecord &server, const GrantReplyEvent &event)
{
    if (server.boot == event.reply->boot || (server.boot != 0 && event.sentAt <= server.bootSentAt)) {
        return;
    }
    server.boot = event.reply->boot;
    server.bootSentAt = event.sentAt;
    server.nonce = 0;
    server.nonceAt.reset();
    server.held.clear();
    server.epoch = 0;
    server.lastReplyAt.reset();
    server.repliedSentAt = event.sentAt;
}

void Shard::learnReply(ServerRecord &server, const GrantReplyEvent &event)
{
    server.lastReplyAt = m_now;
    server.nonceAt = m_now;
    if (event.sentAt < server.repliedSentAt) {
        return;
    }
    // Taken together with what the server holds: a server counts as fenced only once its slices were looked at.
    server.epoch = std::max(server.epoch, event.reply->epoch);
    server.repliedSentAt = event.sentAt;
    server.nonce = event.reply->nonce;
    server.state = event.reply->state;
    server.held = event.reply->held;
    adoptHeld(server);
}

void Shard::onRevokeReply(const GrantReplyEvent &event)
{
    for (const auto &slice : event.request.slices) {
        const auto it = m_revoking.find(slice.sequence);
        if (!event.reply->accepted || it == m_revoking.end() || event.request.epoch != epoch()) {
            continue;
        }
        m_revoking.erase(it);
        m_free.insert(slice.sequence);
    }
}

void Shard::renewSequences(const ServerRecord &server, const GrantReplyEvent &event)
{
    if (!isActive() || event.request.epoch != epoch()) {
        return;
    }
    // A revoke of an earlier coordinator, or one whose move was given up, released these sequences for good. Revoked
    // once more, the slices count as released here, and get a fresh sequence.
    for (const auto &slice : event.request.slices) {
        const auto *const live = m_live->find(slice.range.first);
        const auto &held = event.reply->held;
        if (live && live->sequence == slice.sequence && ownerOf(*live) == server.identity()
            && std::find(held.begin(), held.end(), slice) == held.end()) {
            m_revoking[slice.sequence] = {server.identity(), slice.range, m_now - revokeResendInterval};
        }
    }
}

std::vector<GrantedSlice> Shard::missingGrants(const ServerRecord &server) const
{
    std::vector<GrantedSlice> missing;
    for (const auto &it : m_live->slices) {
        const GrantedSlice slice{it.range, it.sequence};
        if (ownerOf(it) != server.identity() || m_free.count(it.sequence) != 0 || m_revoking.count(it.sequence) != 0) {
            continue;
        }
        if (std::binary_search(server.held.begin(), server.held.end(), slice,
                               [](const auto &a, const auto &b) {
                                   return std::tie(a.range, a.sequence) < std::tie(b.range, b.sequence);
                               })
            || !isClear(it)) {
            continue;
        }
        missing.push_back(slice);
    }
    return missing;
}

void Shard::sendFollowUps()
{
    for (auto &[name, server] : m_servers) {
        if (server.needsCall && !isCalling(server) && isEntitled() && !isStopped(server.identity())) {
            callServer(server);
        }
    }
}

void Shard::sendGrants()
{
    if (!checksGrants()) {
        return;
    }
    for (auto &[name, server] : m_servers) {
        if (server.nonce == 0 || isCalling(server) || !isResponsive(server) || server.epoch != epoch()
            || isStopped(server.identity()) || server.state == ServerState::Draining) {
            continue;
        }
        auto missing = missingGrants(server);
        if (missing.empty()) {
            continue;
        }
        auto request = requestFor(server, GrantAction::Grant);
        request.slices = std::move(missing);
        sendCall(server, std::move(request));
    }
}

}
