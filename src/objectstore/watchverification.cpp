#include <galenarock/watchverification.h>

#include <algorithm>
#include <utility>

namespace Galenarock
{

namespace
{
/// The names without that of `self`.
std::vector<std::string> othersOf(const std::vector<std::string> &names, const Identity &self)
{
    std::vector<std::string> others;
    for (const auto &it : names) {
        if (it != self.name) {
            others.push_back(it);
        }
    }
    return others;
}

std::vector<std::string> namesOf(const std::vector<Member> &members)
{
    std::vector<std::string> names;
    for (const auto &it : members) {
        names.push_back(it.identity.name);
    }
    return names;
}
}

WatchVerification::WatchVerification(Identity self, WatchVerificationSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void WatchVerification::setMembers(Instant now, const std::vector<Member> &members,
                                   const std::vector<std::string> &watchers)
{
    const auto n = std::min(watchers.size(), m_settings.verifiers);
    const auto end = watchers.begin() + static_cast<std::ptrdiff_t>(n);
    const bool wasVerifier = std::exchange(m_isVerifier, std::find(watchers.begin(), end, m_self.name) != end);
    m_members = othersOf(namesOf(members), m_self);
    m_watchers = othersOf(watchers, m_self);
    if (m_isVerifier && !wasVerifier) {
        m_verifierSince = now;
    }
    if (!m_isVerifier) {
        return;
    }
    // Two verifiers must not prove each other's watches: one silence can take those of both.
    for (auto &[kind, verified] : m_kinds) {
        verified.until = {};
    }
}

void WatchVerification::setEra(std::uint64_t era)
{
    if (era == m_era) {
        return;
    }
    m_era = era;
    m_ownKinds.clear();
    m_kinds.clear();
}

void WatchVerification::changed(const std::string &kind, std::uint64_t revision)
{
    m_ownKinds.insert(kind);
    auto &last = m_kinds[kind].lastChange;
    last = std::max(last, revision);
}

ControlActions WatchVerification::tick(Instant now, bool isStoreReachable)
{
    ControlActions actions;
    if (!m_isVerifier || m_ownKinds.empty() || now < m_nextStatementAt) {
        return actions;
    }
    m_nextStatementAt = now + m_settings.statementInterval;
    WatchStatus statement{m_era, isStoreReachable, {}};
    for (const auto &it : m_ownKinds) {
        statement.revisions[it] = m_kinds[it].lastChange;
    }
    const auto payload = encode(statement);
    const bool isStarting = now - m_verifierSince < m_settings.startTime;
    for (const auto &it : isStarting ? m_members : m_watchers) {
        actions.emplace_back(SendPeerAction{it, WatchMessage::Verified, payload});
    }
    return actions;
}

void WatchVerification::receive(Instant now, const WatchStatus &statement)
{
    if (statement.era != m_era) {
        return; // one of the two has not read the store since it was restored
    }
    for (const auto &[kind, revision] : statement.revisions) {
        auto &verified = m_kinds[kind];
        verified.lastChange = std::max(verified.lastChange, revision);
        if (statement.isStoreReachable && !m_isVerifier) {
            verified.until = now + m_settings.silence;
        }
    }
}

}
