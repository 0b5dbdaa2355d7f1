#include "objectstore/events_p.h"
#include "objectstore/storeclient_p.h"

/// The eras of the store: a new one begins when the store continues from an older copy.
namespace Galenarock
{

/// Lists all watched kinds again: revisions of the earlier era name other changes now, or none.
void StoreClient::Private::beginEra(std::uint64_t era, const HttpCall &finished)
{
    const bool isRestored = m_era != 0;
    if (isRestored) {
        logEvent(Events::PlatformRestored, "the store continues from an older copy: era {}, before {}", era, m_era);
    }
    m_era = era;
    m_isEraDelivered = m_handler(StoreEraEvent{era});
    if (!isRestored) {
        return;
    }
    for (auto &[kind, state] : m_watches) {
        state.restartEra();
        state.nextAt = MonotonicClock::now();
        if (state.inFlight != nullptr && state.inFlight != &finished) {
            cancel(*state.inFlight);
            state.inFlight = nullptr;
        }
    }
}

void StoreClient::Private::repeatEraIfLost()
{
    if (!m_isEraDelivered) {
        m_isEraDelivered = m_handler(StoreEraEvent{m_era});
    }
}

/// Ends a call whose response belongs to an earlier era, or continues a list or a watch of one. A write may have taken
/// effect and be lost again, so its outcome is unknown.
void StoreClient::Private::dropResponse(const HttpCall &call)
{
    if (call.kind == CallKind::Write) {
        m_handler(WriteResultEvent{call.key, call.write.writer, call.sentAt, WriteStatus::Unknown, {}});
        return;
    }
    auto *watch = watchOf(call);
    if (watch && watch->inFlight == &call) {
        watch->inFlight = nullptr;
        watch->relistAt(MonotonicClock::now());
    }
    if (call.kind == CallKind::VmList) {
        m_vmListPoll.ended();
    }
}

}
