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
    /// First incarnation number: wall clock in milliseconds at the start, so that a restarted daemon replaces its
    /// predecessor. A clock that is behind is corrected as soon as the daemon hears of its predecessor.
    std::uint64_t startIncarnation = 1;
    /// `ip:port` of daemons to ask for the member table while no other member is known (platform down at the start).
    std::vector<std::string> seeds;
    /// Seed of probe order and choices; different on each daemon.
    std::uint64_t seed = 1;
    Duration probeInterval = milliseconds(500);
    /// Time to a missing acknowledgement before other members are asked to probe.
    Duration directTimeout = milliseconds(200);
    /// Time from the probe to the suspicion.
    Duration probeTimeout = milliseconds(600);
    std::size_t indirectProbes = 3;
    /// Suspicion lasts this many probe intervals times log10 of the number of members (at least 1).
    double suspicionFactor = 4;
    /// A longer gap between two events is a pause of this process.
    Duration pauseThreshold = milliseconds(500);
    /// After a pause no suspicion is raised for this time: answers may have been lost or may still be queued.
    Duration distrustTime = seconds(2);
    /// A dead member that the VM list does not name is forgotten after this time.
    Duration forgetTime = seconds(600);
    std::size_t maxMembers = 20'000;
};

struct MembershipCounters
{
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0;
    /// Raised by this daemon's own probes.
    std::uint64_t suspicions = 0;
    /// Members that refuted a suspicion, as seen here.
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t pauses = 0;
    std::uint64_t malformed = 0;
    /// Updates about members beyond maxMembers.
    std::uint64_t rejected = 0;
};

/// Pure core. Probes one member per interval in a shuffled round-robin order, asks `indirectProbes` others when no
/// acknowledgement comes, suspects, and declares dead when the suspicion is not refuted by a higher incarnation number.
/// News travel on the probe messages. The VM list names members and fills in failure domains; it never declares a
/// member dead.
///
/// Handles TickEvent, VmListEvent, PeerEvent (types 1-19) and StopEvent; emits SendPeerAction, PublishMembersAction
/// (full table, before the messages) and DecisionAction. Work per tick does not depend on the number of members,
/// except when a table is published; with many members a table is published less often.
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

    /// The table as it would be published now, sorted by name.
    std::vector<Member> members() const;
    const MembershipCounters &counters() const;
    /// Incarnation number of this daemon.
    std::uint64_t incarnation() const;

private:
    class Private;
    std::unique_ptr<Private> m_data;
};

}
