#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <galenarock/control.h>

/// Failure detector between daemons and the member table.
namespace Galenarock
{

struct MembershipSettings
{
    /// This daemon; `status` and `listed` are ignored.
    Member self;
    /// Initial incarnation number: the wall clock in milliseconds at startup, so that a restarted daemon supersedes its
    /// previous process. If the clock is behind, the number is raised on the first update about the previous process.
    std::uint64_t startIncarnation = 1;
    /// `ip:port` of daemons to query for the member table while no other member is known (platform down at startup).
    std::vector<std::string> seeds;
    /// Random seed of the probe order and of member selection; must differ between daemons.
    std::uint64_t seed = 1;
    Duration probeInterval = milliseconds(500);
    /// Time without an acknowledgement after which other members are asked for indirect probes.
    Duration directTimeout = milliseconds(200);
    /// Time without an acknowledgement after which the target is suspected.
    Duration probeTimeout = milliseconds(600);
    std::size_t indirectProbes = 3;
    /// A suspected member is declared dead after this many probe intervals times log10 of the number of members (at
    /// least 1).
    double suspicionFactor = 4;
    /// A longer gap between two events counts as a pause of this process.
    Duration pauseThreshold = milliseconds(500);
    /// No suspicion is raised for this time after a pause: acknowledgements may have been lost or may still be queued.
    Duration pauseGracePeriod = seconds(2);
    /// A dead member that is not in the VM list is removed from the table after this time.
    Duration deadMemberRetention = seconds(600);
    std::size_t maxMembers = 20'000;
};

struct MembershipCounters
{
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0;
    /// Raised by this daemon's own probes.
    std::uint64_t suspicions = 0;
    /// Suspicions that this daemon saw refuted by the suspected member.
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t pauses = 0;
    std::uint64_t malformed = 0;
    /// New members ignored because the table already holds maxMembers.
    std::uint64_t rejected = 0;
};

/// Pure core of a SWIM failure detector. Probes one member per interval in shuffled round-robin order. Without an
/// acknowledgement it requests indirect probes from `indirectProbes` other members, then suspects the target, and
/// declares it dead unless the target refutes the suspicion with a higher incarnation number. Updates are piggybacked
/// on the probe messages. The VM list adds members and their failure domains; it never declares a member dead.
///
/// Handles TickEvent, VmListEvent, PeerEvent (types 1-19) and StopEvent; emits SendPeerAction, PublishMembersAction
/// (full table, before the messages) and DecisionAction. The work per tick is independent of the number of members,
/// except when a table is published; the publish interval grows with the number of members.
///
/// Example: `for (auto &action : core.step(now, TickEvent())) { carryOut(action); }`
class MembershipCore
{
public:
    explicit MembershipCore(MembershipSettings settings);
    ~MembershipCore();
    MembershipCore(MembershipCore &&) noexcept;
    MembershipCore &operator=(MembershipCore &&) noexcept;

    ControlActions step(Instant now, const ControlEvent &event);

    /// Current member table as PublishMembersAction would contain it, sorted by name.
    std::vector<Member> members() const;
    const MembershipCounters &counters() const;
    /// Incarnation number of this daemon.
    std::uint64_t incarnation() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}
