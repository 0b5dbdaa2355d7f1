#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <galenarock/control.h>
#include <galenarock/document.h>
#include <galenarock/ownership.h>

namespace Galenarock
{

/// The shard controllers of one daemon: one for each keyed service and one for the request ledger.
///
/// A controller that is created later first processes the newest member table, VM list, leadership and assignment.
class ShardSet
{
public:
    /// Returns the settings of a controller with those of this daemon: identity, failure domain, hooks.
    using SettingsHook = std::function<ShardSettings(const ServiceDocument &document)>;

    explicit ShardSet(SettingsHook makeSettings);

    /// Adds a controller, or passes the new document to the existing one. Returns the first actions of a new
    /// controller.
    ControlActions setDocument(Instant now, const ServiceDocument &document);
    ControlActions step(Instant now, const ControlEvent &event);
    /// True if this daemon is neither coordinator nor standby of any shard, or no other daemon is alive.
    bool isHandedOver() const;
    const std::map<std::string, std::unique_ptr<ShardController>> &controllers() const
    {
        return m_controllers;
    }

private:
    /// Keeps the newest member table, VM list and ownership objects for controllers that are created later.
    void cacheLatest(const ControlEvent &event);

    SettingsHook m_makeSettings;
    std::map<std::string, std::unique_ptr<ShardController>> m_controllers;
    MembersEvent m_members;
    VmListEvent m_vms;
    std::map<ObjectKey, StoredObject> m_objects;
};

/// Document of the request ledger, handled as a service whose servers are the entry VMs and whose slices are ranges of
/// request ids.
ServiceDocument ledgerDocument();

/// Returns the list with each entry VM added once more, as a server of the request ledger.
VmList withLedgerServers(VmList list);

}
