#include "membership/membertable_p.h"

#include <algorithm>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// At equal incarnation and boot numbers the update with the higher precedence wins.
int statusPrecedence(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return 0;
    case MemberStatus::Suspect:
        return 1;
    case MemberStatus::Leaving:
        return 2;
    case MemberStatus::Dead:
        return 3;
    }
    return 0;
}

std::uint64_t digestOf(const MemberState &state)
{
    return hashKey(fmt::format("{}#{}/{}/{}", state.member.identity.name, state.member.identity.boot, state.incarnation,
                               static_cast<int>(state.member.status)));
}
}

MemberStatus MemberState::effectiveStatus() const
{
    const bool isLeaving = isListedLeaving && member.status == MemberStatus::Alive;
    return isLeaving ? MemberStatus::Leaving : member.status;
}

MemberUpdate MemberState::update(bool isBrief) const
{
    MemberUpdate result;
    result.identity = member.identity;
    result.incarnation = incarnation;
    result.status = member.status;
    if (isBrief) {
        return result;
    }
    result.failureDomain = member.failureDomain;
    result.address = member.address;
    result.peerAddress = member.peerAddress;
    result.cpuPercent = member.cpuPercent;
    return result;
}

bool supersedes(const MemberUpdate &update, const MemberState &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (update.identity.boot != known.member.identity.boot) {
        return update.identity.boot > known.member.identity.boot;
    }
    return statusPrecedence(update.status) > statusPrecedence(known.member.status);
}

MemberTable::MemberTable(std::uint64_t seed)
    : m_random(seed)
{
}

MemberState *MemberTable::find(const std::string &name)
{
    const auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

MemberState &MemberTable::add(const std::string &name)
{
    auto &state = m_members[name];
    state.member.identity.name = name;
    // Insert at a random position, so that many daemons do not probe a new member at the same time.
    m_probeOrder.push_back(name);
    std::swap(m_probeOrder.back(), m_probeOrder[randomBelow(m_probeOrder.size())]);
    toggleDigest(state);
    return state;
}

void MemberTable::remove(const std::string &name)
{
    const auto it = m_members.find(name);
    if (it == m_members.end()) {
        return;
    }
    toggleDigest(it->second);
    m_members.erase(it);
    m_probeOrder.erase(std::remove(m_probeOrder.begin(), m_probeOrder.end(), name), m_probeOrder.end());
}

void MemberTable::toggleDigest(const MemberState &state)
{
    m_digest ^= digestOf(state);
}

std::uint64_t MemberTable::randomBelow(std::uint64_t bound)
{
    return bound == 0 ? 0 : m_random() % bound;
}

MemberState *MemberTable::nextInRound()
{
    if (m_probeOrder.empty()) {
        return nullptr;
    }
    if (m_nextInRound >= m_probeOrder.size()) {
        m_nextInRound = 0;
        for (std::size_t n = m_probeOrder.size(); n > 1; --n) {
            std::swap(m_probeOrder[n - 1], m_probeOrder[randomBelow(n)]);
        }
    }
    return find(m_probeOrder[m_nextInRound++]);
}

MemberState *MemberTable::randomMember()
{
    return m_probeOrder.empty() ? nullptr : find(m_probeOrder[randomBelow(m_probeOrder.size())]);
}

std::vector<Member> MemberTable::publishedMembers() const
{
    std::vector<Member> members;
    members.reserve(m_members.size());
    for (const auto &[name, state] : m_members) {
        members.push_back(state.member);
        members.back().status = state.effectiveStatus();
    }
    return members;
}

}
