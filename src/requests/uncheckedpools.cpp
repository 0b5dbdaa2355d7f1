#include <galenarock/uncheckedpools.h>

#include <algorithm>

namespace Galenarock
{

void UncheckedPools::setSendLeaseEnd(const std::string &service, Instant end)
{
    const std::lock_guard lock(m_mutex);
    m_sendLeases[service] = end;
}

bool UncheckedPools::hasSendLease(const std::string &service, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_sendLeases.find(service);
    return it != m_sendLeases.end() && now < it->second;
}

UncheckedPools::Ticket UncheckedPools::enter(const std::string &service, const Identity &server, KeyHash hash)
{
    const std::lock_guard lock(m_mutex);
    const auto ticket = m_next++;
    m_entries[ticket] = {service, server, hash};
    return ticket;
}

void UncheckedPools::leave(Ticket ticket, bool mayStillRun)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end()) {
        return;
    }
    if (mayStillRun) {
        m_broken[ticket] = it->second;
    }
    m_entries.erase(it);
}

bool UncheckedPools::mayRun(const std::string &service, const Identity &server, const SliceRange &range) const
{
    const std::lock_guard lock(m_mutex);
    const auto matches = [&](const auto &it) {
        return it.second.service == service && it.second.server == server && range.contains(it.second.hash);
    };
    return std::any_of(m_entries.begin(), m_entries.end(), matches)
        || std::any_of(m_broken.begin(), m_broken.end(), matches);
}

void UncheckedPools::forget(const std::string &serverName, std::uint64_t exceptBoot)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_broken.begin(); it != m_broken.end();) {
        const auto &server = it->second.server;
        it = server.name == serverName && server.boot != exceptBoot ? m_broken.erase(it) : std::next(it);
    }
}

}
