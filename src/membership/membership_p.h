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
    /// A probe that waits for its acknowledgement.
    struct Probe
    {
        std::string target;
        std::uint64_t sequence = 0;
        Instant sentAt;
        bool isIndirect = false;
    };
    /// A probe made for another member.
    struct Relay
    {
        std::uint64_t sequence = 0;
        std::string origin;
        std::uint64_t originSequence = 0;
    };

    void notePause();
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
    MemberState *nextTarget();
    void probeDead();
    void checkProbes();
    void askOthers(Probe &probe);
    void checkSuspicions();
    void syncTable();
    void forgetDead();

    void apply(const MemberUpdate &update);
    void applyToSelf(const MemberUpdate &update);
    void applyToKnown(MemberState &state, const MemberUpdate &update);
    void suspect(MemberState &state);
    void declareDead(MemberState &state);
    void raiseOwn(std::uint64_t atLeast, MemberStatus status);
    void changed(MemberState &state);

    Duration suspicionTime() const;
    Duration publishInterval() const;
    Duration syncInterval() const;
    std::size_t sendLimit() const;
    MemberState *randomAlive();
    std::vector<MemberUpdate> piggyback(const std::string &receiver, bool isBriefSelf);
    void sendProbe(const std::string &receiver, std::uint16_t type, std::uint64_t sequence,
                   const std::string &target = {});
    void sendTable(const std::string &receiver, std::uint16_t type, bool isComplete);
    void decide(const EventType &event, std::string text);
    ControlActions takeActions();

    Instant m_now;
    bool m_isStarted = false;
    Instant m_distrustUntil;
    Instant m_nextProbe;
    Instant m_nextDeadProbe;
    Instant m_nextSync;
    Instant m_lastPublished;
    bool m_isPublishDue = true;
    bool m_hasVmList = false;
    std::uint64_t m_vmListRevision = 0;
    std::uint64_t m_sequence = 0;
    std::deque<Probe> m_probes;
    std::deque<Relay> m_relays;
    std::set<std::pair<Instant, std::string>> m_suspicions;
    UpdateQueue m_updates;
    double m_tableCredit = 2;
    Instant m_creditAt;
    ControlActions m_messages;
};

}
