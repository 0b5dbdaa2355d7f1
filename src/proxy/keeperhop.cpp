#include "requesthandler_p.h"

/// Non-repeatable requests pass the ledger of the daemon that keeps their id.
namespace Galenarock
{

bool RequestHandler::passLedger(const Pending &request)
{
    const auto keeper = m_shared.keeper().keeper(*request->id);
    const auto &self = m_shared.keeper().self();
    if (!keeper || (keeper->identity != self && (request->viaPeer || keeper->address.empty()))) {
        refuse(request, {Reason::KeeperUnavailable, Outcome::NotRun, {}, 0});
        return false;
    }
    if (keeper->identity != self) {
        request->toKeeper = true;
        request->keeperAddress = keeper->address;
        return true;
    }
    const auto decision = m_shared.keeper().begin(m_now, wallClockNow(), *request->id);
    if (decision.verdict == LedgerVerdict::Accept) {
        request->inLedger = true;
        return true;
    }
    if (decision.response) {
        repeatAnswer(request, *decision.response);
        return false;
    }
    refuse(request, decision.refusal.value_or(Refusal{Reason::KeeperUnavailable, Outcome::NotRun, {}, 0}));
    return false;
}

void RequestHandler::repeatAnswer(const Pending &request, const RecordedResponse &response)
{
    request->traffic->repeated.add();
    traceOutcome(*request, Outcome::Answered, Reason::None);
    std::vector<HeaderField> headers;
    for (const auto &[name, value] : response.headers) {
        headers.push_back({name, value});
    }
    request->exchange->respond(response.status, std::move(headers), response.body);
    finish(request);
}

void RequestHandler::recordOutcome(PendingRequest &request, const Refusal &refusal)
{
    if (!request.inLedger) {
        return;
    }
    request.inLedger = false;
    m_shared.keeper().refused(*request.id, refusal);
}

}
