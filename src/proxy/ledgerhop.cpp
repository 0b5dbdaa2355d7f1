#include "requesthandler_p.h"

/// Checks non-repeatable requests against the request ledger, and forwards them to the ledger owner of their id if that
/// is another daemon.
namespace Galenarock
{

bool RequestHandler::checkLedger(const Pending &request)
{
    const auto owner = m_shared.ledger().reachableOwner(*request->id);
    const auto &self = m_shared.ledger().self();
    if (!owner || (owner->identity != self && (request->viaPeer || owner->address.empty()))) {
        refuse(request, {Reason::LedgerOwnerUnavailable, Outcome::NotRun, {}, 0});
        return false;
    }
    if (owner->identity != self) {
        request->isForLedgerOwner = true;
        request->ledgerOwnerAddress = owner->address;
        return true;
    }
    const auto decision = m_shared.ledger().begin(m_now, wallClockNow(), *request->id);
    if (decision.verdict == LedgerVerdict::Accept) {
        request->inLedger = true;
        return true;
    }
    if (decision.response) {
        sendRecordedResponse(request, *decision.response);
        return false;
    }
    refuse(request, decision.refusal.value_or(Refusal{Reason::LedgerOwnerUnavailable, Outcome::NotRun, {}, 0}));
    return false;
}

void RequestHandler::sendRecordedResponse(const Pending &request, const RecordedResponse &response)
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
    m_shared.ledger().refused(*request.id, refusal);
}

}
