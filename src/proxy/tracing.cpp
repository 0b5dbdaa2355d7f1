#include "requesthandler_p.h"

/// Writes the trace records of requests. A request forwarded by another daemon is recorded in that daemon's trace.
namespace Galenarock
{

void RequestHandler::traceAccepted(PendingRequest &request) const
{
    if (!m_shared.trace() || request.viaPeer) {
        return;
    }
    request.traceNumber = m_shared.nextTraceNumber();
    const auto service = request.traffic ? request.traffic->route->document().service : std::string();
    m_shared.trace()->write(AcceptedRecord{request.arrivedAt, request.traceNumber, request.requestId, service,
                                           request.key, request.idempotent});
}

void RequestHandler::traceOutcome(const PendingRequest &request, Outcome outcome, Reason reason) const
{
    if (request.traceNumber == 0) {
        return;
    }
    m_shared.trace()->write(
        OutcomeRecord{m_now, request.traceNumber, request.token, request.serverIdentity.name, outcome, reason});
}

}
