#include <algorithm>

#include <fmt/format.h>

#include "events_p.h"
#include "plane_p.h"

/// How a daemon joins the others: the key of their messages and the entries of daemons, as the store holds them.
namespace Galenarock
{

namespace
{
constexpr Duration JoinRetryInterval = milliseconds(500);
/// Era of a store that has never been restored.
constexpr std::uint64_t FirstEra = 1;

/// String field of a JSON object; empty if missing or of another type.
std::string textOf(const nlohmann::json &value, const char *name)
{
    const auto it = value.is_object() ? value.find(name) : value.end();
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Number field of a JSON object; 0 if missing or of another type.
std::uint64_t numberOf(const nlohmann::json &value, const char *name)
{
    const auto it = value.is_object() ? value.find(name) : value.end();
    return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

/// CPU share in hundredths of a core; 100, one core, if the field is missing or out of range.
std::uint16_t percentOf(const nlohmann::json &value, const char *name)
{
    const auto it = value.is_object() ? value.find(name) : value.end();
    const bool isPercent = it != value.end() && it->is_number_unsigned() && it->get<std::uint64_t>() <= 65'535;
    return isPercent ? it->get<std::uint16_t>() : std::uint16_t(100);
}

VmEntry readDaemonEntry(const StoredObject &object)
{
    VmEntry entry;
    entry.name = object.key.name;
    entry.failureDomain = textOf(object.value, "failureDomain");
    entry.address = textOf(object.value, "address");
    entry.peerAddress = textOf(object.value, "peer");
    entry.cpuPercent = percentOf(object.value, "cpuPercent");
    entry.boot = numberOf(object.value, "boot");
    return entry;
}
}

MembershipSettings GatewayControlPlane::membershipSettings(const GatewayControlPlaneSettings &settings,
                                                           const std::string &peerAddress)
{
    MembershipSettings membership;
    membership.self.identity = settings.self;
    membership.self.failureDomain = settings.failureDomain;
    membership.self.address = settings.address;
    membership.self.peerAddress = peerAddress;
    membership.self.cpuPercent = settings.cpuPercent;
    membership.startIncarnation = static_cast<std::uint64_t>(wallClockNow());
    membership.seed = settings.seed;
    return membership;
}

void GatewayControlPlane::joinFleet(Instant now)
{
    if (now < m_nextJoinAt || m_isStopping || (m_isPeerKeyWritten && m_isDaemonEntryWritten)) {
        return;
    }
    m_nextJoinAt = now + JoinRetryInterval;
    if (!m_isPeerKeyWritten) {
        const auto value = toJson(m_isPeerKeyNeeded ? newPeerKey() : m_peerKey);
        m_hooks.writeObject({peerKeyObject(), 0, randomNonce(), value, CallPriority::Leadership, false});
    } else {
        writeDaemonEntry(0);
    }
}

void GatewayControlPlane::writeDaemonEntry(std::uint64_t version)
{
    const nlohmann::json value{{"boot", m_settings.self.boot},
                               {"failureDomain", m_settings.failureDomain},
                               {"address", m_settings.address},
                               {"peer", m_peerAddress},
                               {"cpuPercent", m_settings.cpuPercent}};
    m_hooks.writeObject(
        {{ObjectKind::Daemon, m_settings.self.name}, version, randomNonce(), value, CallPriority::Leadership, false});
}

void GatewayControlPlane::onWritten(const WriteResultEvent &event)
{
    const bool isRefused = event.status == WriteStatus::Conflict && event.current.version > 0;
    if (event.key == peerKeyObject()) {
        if (isRefused || event.status == WriteStatus::Applied) {
            onPeerKeyStored(event.current);
        }
    } else if (event.key.kind == ObjectKind::Daemon && event.key.name == m_settings.self.name) {
        if (event.status == WriteStatus::Applied) {
            m_isDaemonEntryWritten = true;
            m_hooks.listObjects(ObjectKind::Daemon);
        } else if (isRefused) {
            writeDaemonEntry(event.current.version);
        }
    }
}

/// Whether this daemon hears more than half of the daemons that it knows. One that knows no other may have started
/// while a restored store had lost their entries.
bool GatewayControlPlane::isFleetHeard() const
{
    if (m_members.size() < 2) {
        return m_storeEra <= FirstEra;
    }
    const auto heard = std::count_if(m_members.begin(), m_members.end(), [](const Member &it) {
        return it.status == MemberStatus::Alive || it.status == MemberStatus::Leaving;
    });
    return 2 * static_cast<std::size_t>(heard) > m_members.size();
}

/// Reads the key of the store again when this daemon may use another one than the other daemons.
void GatewayControlPlane::checkPeerKey(Instant now)
{
    if (m_isPeerKeyNeeded || m_isStopping) {
        return;
    }
    const bool isHeard = isFleetHeard();
    if (!m_peerKeyCheck.isDue(now, m_hooks.foreignFrames(), isHeard)) {
        return;
    }
    m_hooks.readObject({peerKeyObject(), CallPriority::Leadership});
    if (!isHeard) {
        m_hooks.listObjects(ObjectKind::Daemon);
        // Membership takes the listed address of a process that it has not heard only once the earlier one is dead.
        ++m_daemons.revision;
        m_haveDaemonsChanged = true;
    }
}

/// Of two keys the one that was created first stays, so that all daemons come to use the same one.
void GatewayControlPlane::onPeerKeyStored(const StoredObject &object)
{
    const auto stored = peerKeyFromJson(object.value);
    if (m_isPeerKeyNeeded) {
        adoptPeerKey(stored);
        return;
    }
    if (stored.hex != m_peerKey.hex && stored.precedes(m_peerKey)) {
        changePeerKey(stored);
    }
    m_isPeerKeyWritten = stored.hex == m_peerKey.hex;
    if (m_isPeerKeyWritten) {
        m_peerKey.createdMs = std::min(m_peerKey.createdMs, stored.createdMs);
        return;
    }
    logEvent(Events::PeerKeyReplaced,
             "the store has a later key for peer messages than the one this daemon uses; replacing it");
    m_hooks.writeObject(
        {object.key, object.version, randomNonce(), toJson(m_peerKey), CallPriority::Leadership, false});
}

void GatewayControlPlane::adoptPeerKey(const SharedPeerKey &stored)
{
    m_peerAddress = m_hooks.openPeers(stored.hex);
    if (m_peerAddress.empty()) {
        return;
    }
    m_peerKey = stored;
    m_isPeerKeyNeeded = false;
    m_isPeerKeyWritten = true;
    m_nextJoinAt = {};
    m_membership = MembershipCore(membershipSettings(m_settings, m_peerAddress));
}

/// Uses another key from now on and joins the daemons that have it as after a start: so far neither side has heard the
/// other.
void GatewayControlPlane::changePeerKey(const SharedPeerKey &stored)
{
    if (!m_hooks.changePeerKey(stored.hex)) {
        return;
    }
    logEvent(Events::PeerKeyChanged, "the store has an earlier key for peer messages than the one this daemon used");
    m_peerKey = stored;
    m_peerKeyCheck.keyChanged(m_hooks.foreignFrames());
    m_membership = MembershipCore(membershipSettings(m_settings, m_peerAddress));
    m_haveDaemonsChanged = true;
}

void GatewayControlPlane::adoptDaemon(const StoredObject &object)
{
    const auto entry = readDaemonEntry(object);
    if (entry.peerAddress.empty() || entry.failureDomain.empty()) {
        logEvent(Events::DaemonEntryRefused, "{} has no peer address or failure domain and is ignored",
                 object.key.name);
        return;
    }
    if (entry.name == m_settings.self.name) {
        m_hooks.fleetListed(); // this daemon lists the entries after it has written its own
    }
    auto &vms = m_daemons.vms;
    const auto found = std::find_if(vms.begin(), vms.end(), [&](const VmEntry &it) { return it.name == entry.name; });
    if (found != vms.end() && *found == entry) {
        return;
    }
    if (found != vms.end()) {
        *found = entry;
    } else {
        vms.push_back(entry);
    }
    ++m_daemons.revision;
    m_haveDaemonsChanged = true;
}

}
