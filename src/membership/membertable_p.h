#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "membership/messages_p.h"

namespace Galenarock
{

/// A member and what decides between two reports about it.
struct MemberState
{
    Member member;
    std::uint64_t incarnation = 0;
    /// The VM list calls the VM leaving.
    bool isListedLeaving = false;
    /// Suspect: when it is declared dead. Dead: since when.
    Instant changeAt;

    MemberStatus effectiveStatus() const;
    MemberUpdate update(bool isBrief) const;
};

/// True when `update` replaces what is known: a higher incarnation number, or a worse status at the same one.
bool supersedes(const MemberUpdate &update, const MemberState &known);

/// Members by name with a shuffled probe order and a digest that is equal for equal tables.
class MemberTable
{
public:
    explicit MemberTable(std::uint64_t seed);

    MemberState *find(const std::string &name);
    MemberState &add(const std::string &name);
    void remove(const std::string &name);
    /// Call before and after a change of identity, incarnation or status: each call adds or removes the member's part.
    void toggleDigest(const MemberState &state);
    std::uint64_t digest() const
    {
        return m_digest;
    }
    std::size_t size() const
    {
        return m_members.size();
    }
    const std::map<std::string, MemberState> &all() const
    {
        return m_members;
    }
    std::map<std::string, MemberState> &all()
    {
        return m_members;
    }

    /// Next member of the round; shuffles at the start of each round.
    MemberState *nextInRound();
    /// A random member; null in an empty table.
    MemberState *random();
    std::uint64_t randomBelow(std::uint64_t bound);
    std::vector<Member> published() const;

private:
    std::map<std::string, MemberState> m_members;
    std::vector<std::string> m_order;
    std::size_t m_next = 0;
    std::mt19937_64 m_random;
    std::uint64_t m_digest = 0;
};

}
