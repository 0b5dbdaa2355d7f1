#include "shardset_p.h"

#include <galenarock/ledger.h>

namespace Galenarock
{

namespace
{
void append(ControlActions &all, ControlActions more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}
}

ShardSet::ShardSet(SettingsHook makeSettings)
    : m_makeSettings(std::move(makeSettings))
{
}

ControlActions ShardSet::setDocument(Instant now, const ServiceDocument &document)
{
    if (document.distribution != Distribution::Keyed) {
        return {};
    }
    auto &controller = m_controllers[document.service];
    if (controller) {
        controller->setDocument(document);
        return {};
    }
    controller = std::make_unique<ShardController>(m_makeSettings(document));
    ControlActions actions;
    append(actions, controller->step(now, m_members));
    append(actions, controller->step(now, m_vms));
    for (const auto &[key, it] : m_objects) {
        if (key.name == document.service) {
            append(actions, controller->step(now, ObjectEvent{it, true}));
        }
    }
    actions.push_back(ReadObjectAction{{ObjectKind::Mandate, document.service}, CallPriority::Leadership});
    actions.push_back(ReadObjectAction{{ObjectKind::Assignment, document.service}, CallPriority::Grant});
    return actions;
}

ControlActions ShardSet::step(Instant now, const ControlEvent &event)
{
    cacheLatest(event);
    ControlActions actions;
    for (const auto &[name, it] : m_controllers) {
        append(actions, it->step(now, event));
    }
    return actions;
}

void ShardSet::cacheLatest(const ControlEvent &event)
{
    if (const auto *members = std::get_if<MembersEvent>(&event)) {
        m_members = *members;
    } else if (const auto *vms = std::get_if<VmListEvent>(&event)) {
        m_vms = *vms;
    } else if (const auto *object = std::get_if<ObjectEvent>(&event)) {
        auto &stored = m_objects[object->object.key];
        const bool isOwnership =
            object->object.key.kind == ObjectKind::Mandate || object->object.key.kind == ObjectKind::Assignment;
        if (isOwnership && object->object.version > stored.version) {
            stored = object->object;
        }
    }
}

bool ShardSet::isHandedOver() const
{
    for (const auto &[name, it] : m_controllers) {
        if (!it->isHandedOver()) {
            return false;
        }
    }
    return true;
}

ServiceDocument ledgerDocument()
{
    ServiceDocument document;
    document.service = std::string(ledgerService);
    document.team = "galenarock";
    document.distribution = Distribution::Keyed;
    document.key.header = "Idempotency-Key";
    document.ownership.slices = 64; // 6 for each of 10 daemons, so that a lost daemon's ranges spread over the others
    return document;
}

VmList withLedgerServers(VmList list)
{
    const auto n = list.vms.size();
    for (std::size_t it = 0; it < n; ++it) {
        if (list.vms[it].role != VmRole::Entry) {
            continue;
        }
        auto server = list.vms[it];
        server.role = VmRole::Backend;
        server.service = std::string(ledgerService);
        list.vms.push_back(std::move(server));
    }
    return list;
}

}
