/// Membership core under arbitrary events. Invariants: this daemon is always in its own table, alive or leaving; its
/// incarnation number never falls; the table is sorted, has no duplicates and is bounded; probe messages fit a
/// datagram.

#include <set>

#include <galenarock/membership.h>
#include <galenarock/peer.h>

#include "eventreader_p.h"
#include "membership/messages_p.h"

using namespace Galenarock;

namespace
{
constexpr std::size_t maxMembers = 5;

MemberUpdate update(EventReader &reader)
{
    MemberUpdate result;
    result.identity = {reader.name(), reader.byte() % 3U + 1U};
    result.incarnation = reader.byte();
    result.status = static_cast<MemberStatus>(reader.byte() % 5);
    if (reader.byte() % 2 == 0) {
        result.failureDomain = "rioja";
        result.peerAddress = "127.0.0.1:1";
    }
    return result;
}

PeerEvent peerEvent(EventReader &reader)
{
    PeerEvent event{{reader.name(), 1}, static_cast<std::uint16_t>(1 + reader.byte() % 6), {}};
    const auto kind = reader.byte() % 3;
    if (kind == 0) {
        event.payload = reader.bytes();
    } else if (event.type <= MemberMessage::IndirectPing) {
        event.payload = Wire::encode(ProbeMessage{reader.byte(), reader.name(), {update(reader), update(reader)}});
    } else {
        event.payload = Wire::encode(TableMessage{reader.byte(), {update(reader), update(reader)}});
    }
    return event;
}

VmListEvent vmListEvent(EventReader &reader)
{
    VmListEvent event;
    event.list.revision = reader.byte();
    for (int n = reader.byte() % 8; n > 0; --n) {
        VmEntry vm;
        vm.name = reader.name();
        vm.role = reader.byte() % 4 == 0 ? VmRole::Backend : VmRole::Entry;
        vm.state = reader.byte() % 2 == 0 ? VmState::Live : VmState::Leaving;
        event.list.vms.push_back(vm);
    }
    return event;
}

ControlEvent nextEvent(EventReader &reader)
{
    switch (reader.byte() % 8) {
    case 0:
    case 1:
    case 2:
        return TickEvent();
    case 3:
        return vmListEvent(reader);
    case 4:
        return reader.byte() == 0 ? ControlEvent(StopEvent()) : ControlEvent(TickEvent());
    default:
        return peerEvent(reader);
    }
}

void checkTable(const std::vector<Member> &members)
{
    require(members.size() <= maxMembers);
    bool hasSelf = false;
    for (std::size_t n = 0; n < members.size(); ++n) {
        require(n == 0 || members[n - 1].identity.name < members[n].identity.name);
        if (members[n].identity.name != "vm-0") {
            continue;
        }
        hasSelf = true;
        require(members[n].identity.boot == 1);
        require(members[n].status == MemberStatus::Alive || members[n].status == MemberStatus::Leaving);
    }
    require(hasSelf);
}
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    EventReader reader(data, size);
    MembershipSettings settings;
    settings.self.identity = {"vm-0", 1};
    settings.maxMembers = maxMembers;
    settings.seeds = {"127.0.0.1:1"};
    MembershipCore core(settings);
    Instant now{seconds(1)};
    std::uint64_t incarnation = 0;
    while (!reader.isAtEnd()) {
        const auto pause = reader.byte();
        now += pause > 250 ? seconds(pause) : milliseconds(pause);
        for (const auto &it : core.step(now, nextEvent(reader))) {
            if (const auto *message = std::get_if<SendPeerAction>(&it)) {
                require(message->type >= MemberMessage::TableQuery || message->payload.size() <= maxDatagramPayload);
            } else if (const auto *members = std::get_if<PublishMembersAction>(&it)) {
                checkTable(members->members);
            }
        }
        checkTable(core.members());
        require(core.incarnation() >= incarnation);
        incarnation = core.incarnation();
    }
    return 0;
}
