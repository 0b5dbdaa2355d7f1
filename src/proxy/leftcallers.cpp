#include <poll.h>

#include "events_p.h"
#include "requesthandler_p.h"

/// Requests whose callers have left. libmicrohttpd does not watch connections that wait for a response, and a request
/// may have waited unread in its socket until long after its caller gave up.
namespace Galenarock
{

namespace
{
constexpr Duration CallerCheckInterval = milliseconds(100);

bool isClosedByCaller(const pollfd &entry)
{
    return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
}

bool RequestHandler::hasCallerLeft(const PendingRequest &request)
{
    pollfd entry{request.exchange->socket(), POLLRDHUP, 0};
    return entry.fd < 0 || (poll(&entry, 1, 0) > 0 && isClosedByCaller(entry));
}

void RequestHandler::abandon(const Pending &request)
{
    logEvent(Events::RequestLeft,
             "request {}: the caller disconnected within {} ms after it was read, {} attempts, server {}",
             request->requestId, duration_cast<milliseconds>(m_now - request->arrivedAt).count(),
             request->plan ? request->plan->attempts() : 0, request->serverIdentity.name);
    handleExchangeEnd(request, false);
    request->exchange->drop();
}

void RequestHandler::dropAll()
{
    const std::vector<Pending> list(m_active.begin(), m_active.end());
    for (const auto &it : list) {
        if (!it->finished) {
            handleExchangeEnd(it, false);
        }
        it->exchange->abortResponse();
        it->exchange->drop();
    }
}

void RequestHandler::abandonLeft(Instant now)
{
    if (now < m_nextCallerCheck) {
        return;
    }
    m_now = now;
    m_nextCallerCheck = now + CallerCheckInterval;
    std::vector<pollfd> entries;
    std::vector<Pending> waiting;
    for (const auto &it : m_active) {
        const int fd = it->finished ? -1 : it->exchange->socket();
        if (fd < 0) {
            continue;
        }
        entries.push_back({fd, POLLRDHUP, 0});
        waiting.push_back(it);
    }
    if (entries.empty() || poll(entries.data(), entries.size(), 0) <= 0) {
        return;
    }
    for (std::size_t n = 0; n < entries.size(); ++n) {
        if (isClosedByCaller(entries[n]) && !waiting[n]->finished) {
            abandon(waiting[n]);
        }
    }
}

}
