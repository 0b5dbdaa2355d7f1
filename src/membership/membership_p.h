#pragma once

#include <deque>
#include <set>

#include <galenarock/membership.h>

#include "membership/membertable_p.h"
#include "membership/updatequeue_p.h"

namespace Galenarock
{

class MembershipCore::Private
{
public:
    explicit Private(MembershipSettings settings);

    ControlActions step(Instant now, const ControlEvent &event);

    const MembershipSettings m_settings;
    MemberTable m_table;
    MembershipCounters m_counters;
    MemberState &self()
    {
        return *m_table.find(m_settings.self.identity.name);
    }

private:
    /// An own probe without an acknowledgement yet.
    struct Probe
    {
        std::string target;
        std::uint64_t sequence = 0;
        Instant sentAt;
        bool isIndirect = false;
    };
    /// An indirect probe in flight on behalf of `origin`.
    struct Relay
    {
        std::uint64_t sequence = 0;
        std::string origin;
        std::uint64_t originSequence = 0;
    };

    void onProcessPause();
    void onTick();
    void onVmList(const VmList &list);
    void onVmEntry(const VmEntry &vm);
    void onStop();
    void onPeer(const PeerEvent &event);
    void onProbeMessage(const PeerEvent &event);
    void onAck(const std::string &sender, const ProbeMessage &message);
    void onIndirectPing(const std::string &sender, const ProbeMessage &message);
    void onTableMessage(const PeerEvent &event);

    void startProbe();
    MemberState *nextProbeTarget();
    void probeDeadMember();
    void checkProbes();
    void sendIndirectProbes(Probe &probe);
    void checkSuspicions();
    void startTableSync();
    void removeExpiredMembers();

    void applyUpdate(const MemberUpdate &update);
    void applyToSelf(const MemberUpdate &update);
    void applyToMember(MemberState &state, const MemberUpdate &update);
    void suspect(MemberState &state);
    void declareDead(MemberState &state);
    void raiseOwnIncarnation(std::uint64_t atLeast, MemberStatus status);
    void queueUpdate(MemberState &state);

    Duration suspicionTime() const;
    Duration publishInterval() const;
    Duration syncInterval() const;
    std::size_t maxTransmissions() const;
    MemberState *randomAlive();
    std::vector<MemberUpdate> piggybackedUpdates(const std::string &receiver, bool isBriefSelf);
    void sendProbe(const std::string &receiver, std::uint16_t type, std::uint64_t sequence,
                   const std::string &target = {});
    void sendTable(const std::string &receiver, std::uint16_t type, bool isComplete);
    void logDecision(const EventType &event, std::string text);
    ControlActions takeActions();

    Instant m_now;
    bool m_isStarted = false;
    Instant m_pauseGraceUntil;
    Instant m_nextProbe;
    Instant m_nextDeadProbe;
    Instant m_nextSync;
    Instant m_lastPublished;
    bool m_isPublishDue = true;
    bool m_hasVmList = false;
    std::uint64_t m_vmListRevision = 0;
    std::uint64_t m_sequence = 0;
    std::deque<Probe> m_probes;
    std::deque<Relay> m_relayedProbes;
    std::set<std::pair<Instant, std::string>> m_suspicionDeadlines;
    UpdateQueue m_updateQueue;
    double m_tableTokens = 2;
    Instant m_tableTokensRefilledAt;
    ControlActions m_actions;
};

}
