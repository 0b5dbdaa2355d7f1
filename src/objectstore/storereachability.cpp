#include "objectstore/events_p.h"
#include "objectstore/storeclient_p.h"

/// Whether the store answers the store client, by the ends of its calls and by heartbeats.
namespace Galenarock
{

namespace
{
/// A GET on a reused connection that the platform closed is not an outage: it is aborted instead of sent again, and
/// the read can safely be repeated.
bool isPlatformResponding(const HttpCall &call)
{
    return call.isAnswered() || (call.isRepeatPrevented && call.kind != CallKind::Write);
}
}

/// During an outage the call budget probes the store instead.
void StoreClient::Private::startHeartbeat(Instant now)
{
    const bool isNeeded = m_settings.dialect.heartbeat && hasWaitingWatch() && !m_budget.isInOutage();
    if (!isNeeded || !m_heartbeat.isDue(now)) {
        return;
    }
    m_heartbeat.sent(now);
    start(makeHeartbeat(m_settings));
}

/// A heartbeat without an answer is no outage for the call budget: a slow store still answers other calls.
void StoreClient::Private::finishHeartbeat(const HttpCall &call)
{
    const bool wasSilent = m_heartbeat.isSilent();
    if (m_heartbeat.finished(isPlatformResponding(call))) {
        const auto n = restartSilentWatches(call);
        logEvent(Events::PlatformReachable, "the platform answers heartbeats again; {} watches are sent anew", n);
    }
    if (m_heartbeat.isSilent() && !wasSilent) {
        logEvent(Events::PlatformSilent, "no answer to a heartbeat: {}, HTTP status {}", curl_easy_strerror(call.code),
                 call.status);
    }
    updateReachable();
}

void StoreClient::Private::reportReachability(Instant now, const HttpCall &call)
{
    const bool wasInOutage = m_budget.isInOutage();
    m_budget.finish(now, isPlatformResponding(call));
    updateReachable();
    if (m_budget.isInOutage() == wasInOutage) {
        return;
    }
    if (wasInOutage) {
        logEvent(Events::PlatformReachable, "the platform responds again");
        restartSilentWatches(call);
        m_heartbeat.clearSilence();
        updateReachable();
        return;
    }
    logEvent(Events::PlatformUnreachable, "{} failed: {}, HTTP status {}; retrying with back-off", nameOf(call.kind),
             curl_easy_strerror(call.code), call.status);
}

void StoreClient::Private::updateReachable()
{
    m_isReachable.store(!m_budget.isInOutage() && !m_heartbeat.isSilent());
}

}
