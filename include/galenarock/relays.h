#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <galenarock/control.h>

/// Other VMs through which requests go while this VM reaches no server.
namespace Galenarock
{

/// A daemon that may take a request over.
struct Relay
{
    std::string vm;
    /// `ip:port` of its callers' listener.
    std::string address;

    friend bool operator==(const Relay &a, const Relay &b)
    {
        return a.vm == b.vm && a.address == b.address;
    }
};

/// Chooses relays: live daemons of the own failure domain first, then others, at random. Daemons that could not help
/// are left out for a while, so that VMs which are partitioned as well are not asked again and again. Pure core.
class RelayChoice
{
public:
    void setMembers(const Identity &self, const std::string &failureDomain, const std::vector<Member> &members);
    /// A relay that is not in `tried`; empty when none is left.
    std::optional<Relay> choose(Instant now, const std::vector<std::string> &tried, std::uint64_t random) const;
    /// The daemon could not be reached or reaches no server itself.
    void failed(Instant now, const std::string &vm);

private:
    std::optional<Relay> chooseFrom(const std::vector<Relay> &relays, Instant now,
                                    const std::vector<std::string> &tried, std::uint64_t random) const;

    std::vector<Relay> m_local;
    std::vector<Relay> m_others;
    std::map<std::string, Instant> m_leftOutUntil;
};

/// RelayChoice of the daemon, fed by the control thread and used by the workers. Thread-safe.
class SharedRelays
{
public:
    void setMembers(const Identity &self, const std::string &failureDomain, const std::vector<Member> &members)
    {
        const std::lock_guard lock(m_mutex);
        m_choice.setMembers(self, failureDomain, members);
    }
    std::optional<Relay> choose(Instant now, const std::vector<std::string> &tried, std::uint64_t random) const
    {
        const std::lock_guard lock(m_mutex);
        return m_choice.choose(now, tried, random);
    }
    void failed(Instant now, const std::string &vm)
    {
        const std::lock_guard lock(m_mutex);
        m_choice.failed(now, vm);
    }

private:
    mutable std::mutex m_mutex;
    RelayChoice m_choice;
};

/// What a daemon tells the one that it relays a request to.
struct RelayedRequest
{
    /// Servers to which the request may still be sent.
    std::uint32_t attempts = 1;
    /// Hash of the caller's address.
    std::uint64_t caller = 0;
    /// Version of the configuration that the sender uses. A daemon with an older one does not take the request. 0 when
    /// a build before `PeerFeature::RelayVersions` relays.
    std::uint64_t configuration = 0;

    friend bool operator==(const RelayedRequest &a, const RelayedRequest &b)
    {
        return a.attempts == b.attempts && a.caller == b.caller && a.configuration == b.configuration;
    }
};

/// `<attempts> <caller> <configuration>`, all decimal; the last one is left out when it is 0.
std::string toString(const RelayedRequest &relayed);
/// Empty for malformed text or no attempts.
std::optional<RelayedRequest> parseRelayedRequest(std::string_view text);

}
