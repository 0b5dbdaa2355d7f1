/// Configuration core under arbitrary events. Invariants: no version falls, what is handed out only rises, a missing
/// configuration always has a reason, and two cores that can talk end with equal digests.

#include <galenarock/config.h>
#include <galenarock/peer.h>

#include "config/messages_p.h"
#include "eventreader_p.h"

using namespace Galenarock;

namespace
{
ObjectKey objectKey(EventReader &reader)
{
    const auto n = reader.byte();
    const char *kind = n % 5 == 0 ? "mandate" : n % 2 == 0 ? "service" : "assignment";
    return {kind, std::string(1, static_cast<char>('a' + n % 7))};
}

WireVersion wireVersion(EventReader &reader)
{
    return {objectKey(reader), reader.byte() % 16U};
}

WireItem wireItem(EventReader &reader)
{
    WireItem item{objectKey(reader), reader.byte() % 16U, 1, "{}"};
    const auto kind = reader.byte();
    if (kind < 32) {
        item.value = reader.bytes();
    } else if (kind < 64) {
        item.value = nlohmann::json(std::string(kind * 40U, 'x')).dump();
    }
    return item;
}

PeerEvent peerEvent(EventReader &reader)
{
    PeerEvent event{{reader.name(), 1}, static_cast<std::uint16_t>(20 + reader.byte() % 6), {}};
    if (reader.byte() % 8 == 0) {
        event.payload = reader.bytes();
        return event;
    }
    switch (event.type) {
    case ConfigMessage::Digest:
        event.payload = Wire::encode(
            DigestMessage{reader.byte(), reader.byte() % 2 == 0, std::vector<std::uint64_t>(reader.byte() % 65U)});
        break;
    case ConfigMessage::Items:
        event.payload = Wire::encode(ItemsMessage{{wireItem(reader), wireItem(reader)}});
        break;
    case ConfigMessage::Versions:
        event.payload = Wire::encode(
            VersionsMessage{reader.byte() * 0x0101010101010101U, {wireVersion(reader), wireVersion(reader)}});
        break;
    case ConfigMessage::Query:
        event.payload = Wire::encode(QueryMessage{{wireVersion(reader), wireVersion(reader)}});
        break;
    default:
        event.payload = Wire::encode(ReportMessage{reader.byte(), {wireVersion(reader)}});
        break;
    }
    return event;
}

MembersEvent membersEvent(EventReader &reader)
{
    MembersEvent event;
    for (int n = 0; n < 6; ++n) {
        Member member;
        member.identity = {fmt::format("vm-{}", n), 1};
        member.failureDomain = n % 2 == 0 ? "rioja" : "navarra";
        member.status = static_cast<MemberStatus>(reader.byte() % 4);
        event.members.push_back(member);
    }
    return event;
}

ControlEvent nextEvent(EventReader &reader)
{
    switch (reader.byte() % 6) {
    case 0:
        return TickEvent();
    case 1:
        return membersEvent(reader);
    case 2: {
        const auto item = wireItem(reader);
        return ObjectEvent{{item.key, item.version, 1, nlohmann::json(item.value)}, reader.byte() % 4 != 0};
    }
    case 3: {
        const auto item = wireItem(reader);
        const StoredObject object{item.key, item.version, 1, nlohmann::json(item.value)};
        return WriteResultEvent{item.key, 1, {}, static_cast<WriteStatus>(reader.byte() % 4), object};
    }
    default:
        return peerEvent(reader);
    }
}

using Versions = std::map<ObjectKey, std::uint64_t>;

void checkVersions(ConfigCore &core, Versions &known, Versions &handedOut)
{
    for (const auto &it : core.versions()) {
        require(it.version >= known[it.key]);
        known[it.key] = it.version;
    }
    for (const auto &it : core.takeChanged()) {
        require(it.version > handedOut[it.key]);
        handedOut[it.key] = it.version;
    }
    require(core.hasConfiguration() == core.missingReason().empty());
    require(core.versions().size() <= known.size());
}

/// Two cores that know each other exchange messages until they agree.
void converge(ConfigCore &first, ConfigCore &second, Instant now)
{
    MembersEvent both;
    both.members.resize(2);
    both.members[0].identity = {"vm-0", 1};
    both.members[1].identity = {"vm-1", 1};
    std::vector<std::pair<ConfigCore *, ControlEvent>> queue{{&first, both}, {&second, both}};
    constexpr int rounds = 200;
    for (int n = 0; n < rounds && first.digest() != second.digest(); ++n) {
        now += milliseconds(100);
        queue.emplace_back(&first, TickEvent());
        queue.emplace_back(&second, TickEvent());
        for (const auto &[core, event] : std::exchange(queue, {})) {
            for (auto &it : core->step(now, event)) {
                if (auto *message = std::get_if<SendPeerAction>(&it)) {
                    const Identity sender{core == &first ? "vm-0" : "vm-1", 1};
                    queue.emplace_back(core == &first ? &second : &first,
                                       PeerEvent{sender, message->type, std::move(message->payload)});
                }
            }
        }
    }
    require(first.digest() == second.digest());
}
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    EventReader reader(data, size);
    ConfigCore core({{"vm-0", 1}, "rioja"});
    Versions known;
    Versions handedOut;
    Instant now{seconds(1)};
    while (!reader.isAtEnd()) {
        now += milliseconds(reader.byte());
        for (const auto &it : core.step(now, nextEvent(reader))) {
            if (const auto *message = std::get_if<SendPeerAction>(&it)) {
                require(message->payload.size() + frameOverheadBytes < maxFrameBytes);
            }
        }
        checkVersions(core, known, handedOut);
    }
    ConfigCore other({{"vm-1", 1}, "navarra", 2});
    converge(core, other, now);
    return 0;
}
