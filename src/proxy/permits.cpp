#include "requesthandler_p.h"

/// Requests to servers that state a request rate for all daemons together.
namespace Galenarock
{

void RequestHandler::observeRate(const PendingRequest &request, unsigned status, const ResponseInfo &info)
{
    if (info.isOtherServer) {
        return;
    }
    const bool isAnswer = status < 300 && !info.isNotRun && info.id == request.requestId;
    if (info.requestsPerSecond || isAnswer) {
        m_shared.serverLimits().observe(m_now, request.serverIdentity, info.requestsPerSecond);
    }
}

}
