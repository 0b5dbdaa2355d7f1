#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <galenarock/base.h>

/// Types of the platform's object API.
namespace Galenarock
{

/// Kinds of platform objects that the system reads and writes.
namespace ObjectKind
{
inline constexpr const char *Service = "service";
inline constexpr const char *Mandate = "mandate";
inline constexpr const char *Assignment = "assignment";
inline constexpr const char *Status = "status";
inline constexpr const char *ServiceHistory = "service-history";
}

struct ObjectKey
{
    std::string kind;
    std::string name;

    friend bool operator==(const ObjectKey &a, const ObjectKey &b)
    {
        return a.kind == b.kind && a.name == b.name;
    }
    friend bool operator<(const ObjectKey &a, const ObjectKey &b)
    {
        return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
    }
};

/// An object as read; `version` only grows within an era, `writer` is the nonce of the write that made this version.
struct StoredObject
{
    ObjectKey key;
    std::uint64_t version = 0;
    std::uint64_t writer = 0;
    nlohmann::json value;
    /// Era of the store in which it was read; 0 for a store without eras.
    std::uint64_t era = 0;

    friend bool operator==(const StoredObject &a, const StoredObject &b)
    {
        return a.key == b.key && a.version == b.version && a.writer == b.writer && a.value == b.value && a.era == b.era;
    }
};

enum class VmRole : std::uint8_t
{
    Entry,
    Backend,
};

enum class VmState : std::uint8_t
{
    Live,
    Leaving,
};

/// One entry of the platform's VM list.
struct VmEntry
{
    std::string name;
    VmRole role = VmRole::Entry;
    /// Backend servers: the service that they run.
    std::string service;
    std::string failureDomain;
    /// `ip:port` of the HTTP listener for requests.
    std::string address;
    /// Entry VMs: `ip:port` for messages between daemons, UDP and TCP.
    std::string peerAddress;
    VmState state = VmState::Live;
    /// Process on the VM; 0 when the platform does not tell.
    std::uint64_t boot = 0;
    /// Requests that a backend server runs at once; 0 when the platform does not tell.
    std::uint32_t slots = 0;
    /// Entry VMs: processor time that the daemon may use, in hundredths of a core.
    std::uint16_t cpuPercent = 100;

    friend bool operator==(const VmEntry &a, const VmEntry &b)
    {
        return a.name == b.name && a.role == b.role && a.service == b.service && a.failureDomain == b.failureDomain
            && a.address == b.address && a.peerAddress == b.peerAddress && a.state == b.state && a.boot == b.boot
            && a.slots == b.slots && a.cpuPercent == b.cpuPercent;
    }
};

struct VmList
{
    std::uint64_t revision = 0;
    std::vector<VmEntry> vms;

    friend bool operator==(const VmList &a, const VmList &b)
    {
        return a.revision == b.revision && a.vms == b.vms;
    }
};

/// What became of a conditional update.
enum class WriteStatus : std::uint8_t
{
    /// Acknowledged: durable, and the response was received.
    Applied,
    /// Another version is stored; `current` holds it.
    Conflict,
    /// Connection failed before the request was sent, or the platform refused it without effect.
    NotSent,
    /// No response; the write may have taken effect, or may still take effect.
    Unknown,
};

/// Priority of a call under the client-side call budget; lower values go first.
enum class CallPriority : std::uint8_t
{
    Leadership,
    Grant,
    Configuration,
    Status,
};

}
