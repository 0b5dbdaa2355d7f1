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
/// A controller that is made later than the others first gets the newest member table, VM list and mandate.
class ShardSet
{
public:
    /// Fills in what depends on the daemon: identity, failure domain, hooks.
    using SettingsHook = std::function<ShardSettings(const ServiceDocument &document)>;

    explicit ShardSet(SettingsHook makeSettings);

    /// Adds a controller or passes the new document to the existing one; actions of the first events are returned.
    ControlActions setDocument(Instant now, const ServiceDocument &document);
    ControlActions step(Instant now, const ControlEvent &event);
    /// True when no controller holds a part of a mandate.
    bool isHandedOver() const;
    const std::map<std::string, std::unique_ptr<ShardController>> &controllers() const
    {
        return m_controllers;
    }

private:
    void remember(const ControlEvent &event);

    SettingsHook m_makeSettings;
    std::map<std::string, std::unique_ptr<ShardController>> m_controllers;
    MembersEvent m_members;
    VmListEvent m_vms;
    std::map<ObjectKey, StoredObject> m_objects;
};

/// Pseudo service whose servers are the entry VMs and whose slices are ranges of request ids.
ServiceDocument ledgerDocument();

/// The list with every entry VM also named as a server of the request ledger.
VmList withLedgerServers(VmList list);

}
