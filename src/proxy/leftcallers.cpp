#include <poll.h>

#include "requesthandler_p.h"

/// Requests whose callers have left. A request may have waited unread in its socket until long after its caller gave
/// up, and a worker that was stalled may not have seen yet that a connection was closed.
namespace Galenarock
{

namespace
{
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

}
