#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "membership/messages_p.h"

namespace Galenarock
{

/// A member with the incarnation number and status that order updates about it.
struct MemberState
{
    Member member;
    std::uint64_t incarnation = 0;
    /// True when the VM list marks the VM as leaving.
    bool isListedLeaving = false;
    /// Suspect: time at which the member is declared dead. Dead: time of the declaration.
    Instant statusDeadline;

    MemberStatus effectiveStatus() const;
    MemberUpdate update(bool isBrief) const;
};

/// True when `update` replaces `known`: a higher incarnation number; at the same one a higher boot number; at the same
/// boot number a status of higher precedence (Alive, Suspect, Leaving, Dead in ascending order).
bool supersedes(const MemberUpdate &update, const MemberState &known);

/// Members by name, with a shuffled round-robin probe order and an anti-entropy digest that is equal for equal tables.
class MemberTable
{
public:
    explicit MemberTable(std::uint64_t seed);

    MemberState *find(const std::string &name);
    MemberState &add(const std::string &name);
    void remove(const std::string &name);
    /// XORs the hash of `state` into the digest. Call before a change of identity, incarnation or status to remove the
    /// old hash, and after it to add the new one.
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

    /// Next member in probe order; null in an empty table. Reshuffles after each full round.
    MemberState *nextInRound();
    /// Uniformly chosen member; null in an empty table.
    MemberState *randomMember();
    /// Random number in [0, bound); 0 when `bound` is 0.
    std::uint64_t randomBelow(std::uint64_t bound);
    std::vector<Member> publishedMembers() const;

private:
    std::map<std::string, MemberState> m_members;
    std::vector<std::string> m_probeOrder;
    std::size_t m_nextInRound = 0;
    std::mt19937_64 m_random;
    std::uint64_t m_digest = 0;
};

}
