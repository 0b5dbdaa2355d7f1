#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "objectstore/events_p.h"
#include "objectstore/storeclient_p.h"

/// The calls of the watches of the store client: when each is made and how long it waits.
namespace Galenarock
{

namespace
{
/// Number of daemons above which the pause between two calls of a watch grows.
constexpr double DaemonsAtBaseWatchPause = 20;
}

void StoreClient::Private::applyRequestedWatches(Instant now)
{
    const std::lock_guard lock(m_requestedWatchesMutex);
    for (const auto &[kind, isEnabled] : m_requestedWatches) {
        auto &state = m_watches[kind];
        if (state.isEnabled == isEnabled) {
            continue;
        }
        if (!isEnabled && state.inFlight != nullptr) {
            cancel(*state.inFlight);
        }
        state = WatchState();
        state.isEnabled = isEnabled;
        state.nextAt = now;
    }
}

void StoreClient::Private::startWatches(Instant now)
{
    for (auto &[kind, state] : m_watches) {
        if (!state.isEnabled || state.inFlight != nullptr || now < state.nextAt || isFed(now, kind, state)) {
            continue;
        }
        // During an outage one call at a time probes the platform. A list is used, because its response comes at once
        // and that of a watch only after a change.
        const bool isProbe = m_budget.isInOutage();
        if (!state.needsList && (isProbe || now - state.listedAt > m_settings.relistInterval)) {
            state.restartList();
        }
        if (!m_budget.tryTake(now, CallPriority::Configuration, CallType::Read)) {
            state.nextAt = now + milliseconds(BudgetRetryMs);
            continue;
        }
        auto call = makeWatchCall(now, kind, state);
        state.inFlight = call.get();
        start(std::move(call));
    }
}

/// The next call of a watch: a page of the list, or a wait for changes.
std::unique_ptr<HttpCall> StoreClient::Private::makeWatchCall(Instant now, const std::string &kind,
                                                              WatchState &state) const
{
    auto call = state.needsList ? makeList(kind, state) : makePoll(now, kind, state);
    call->continuesEarlierCall = !state.needsList || !state.listAfter.empty();
    call->fromRevision = state.revision;
    if (state.needsList) {
        state.listedAt = now;
    }
    return call;
}

std::unique_ptr<HttpCall> StoreClient::Private::makeList(const std::string &kind, const WatchState &state) const
{
    const auto timeout = state.isListSlow ? m_settings.callTimeout : m_settings.listTimeout;
    return makeWatchList(m_settings, kind, state.listAfter, std::min(timeout, m_settings.callTimeout));
}

std::unique_ptr<HttpCall> StoreClient::Private::makePoll(Instant now, const std::string &kind, WatchState &state) const
{
    const auto wait = WatchTimer::limitWait(m_settings.watchTimer, now, verifiedKind(kind), waitOf(state));
    state.timer.sent(now, wait);
    return makeWatchPoll(m_settings, kind, state.revision, wait);
}

const VerifiedKind *StoreClient::Private::verifiedKind(const std::string &kind) const
{
    const auto found = m_feed.verified.find(kind);
    return found == m_feed.verified.end() ? nullptr : &found->second;
}

/// Sends watches again that the store has lost in a silence too short for any other call to notice. During a longer one
/// the heartbeats do that, once it has ended.
void StoreClient::Private::resendLostWatches(Instant now)
{
    if (!m_settings.dialect.heartbeat || m_heartbeat.isSilent() || m_budget.isInOutage()) {
        return;
    }
    for (auto &[kind, state] : m_watches) {
        if (state.inFlight == nullptr || state.inFlight->isList) {
            continue;
        }
        const auto *verified = verifiedKind(kind);
        const auto loss = state.timer.findLoss(m_settings.watchTimer, now, verified, state.revision);
        if (!loss) {
            continue;
        }
        const auto reason = nameOf(*loss);
        m_metrics.counter("galenarock_platform_watches_lost_total", fmt::format("reason=\"{}\"", reason)).add();
        const auto age = duration_cast<milliseconds>(now - state.inFlight->sentAt).count();
        logEvent(Events::PlatformWatchLost, "{}: {}, no answer for {} ms; sent again from revision {}, last change {}",
                 kind, reason, age, state.revision, verified ? verified->lastChange : 0);
        cancel(*std::exchange(state.inFlight, nullptr));
        state.nextAt = now;
    }
}

WatchState *StoreClient::Private::watchOf(const HttpCall &call)
{
    const auto found = call.kind == CallKind::Watch ? m_watches.find(call.key.kind) : m_watches.end();
    return found == m_watches.end() ? nullptr : &found->second;
}

bool StoreClient::Private::hasWaitingWatch() const
{
    return std::any_of(m_watches.begin(), m_watches.end(), [](const auto &it) {
        const auto *call = it.second.inFlight;
        return call != nullptr && !call->isList;
    });
}

/// After a response that could not be handled: lists the kind again.
void StoreClient::Private::restartWatch(const HttpCall &call)
{
    if (auto *watch = watchOf(call)) {
        watch->inFlight = nullptr;
        watch->relistAt(MonotonicClock::now() + WatchRetryDelay);
    }
}

/// Sends the watches again that were under way while the store did not respond: it may have lost them. Returns their
/// number.
std::size_t StoreClient::Private::restartSilentWatches(const HttpCall &answered)
{
    std::size_t n = 0;
    for (auto &[kind, state] : m_watches) {
        state.wait = m_settings.shortestWatchTimeout;
        if (state.inFlight == nullptr || state.inFlight == &answered) {
            continue;
        }
        cancel(*std::exchange(state.inFlight, nullptr));
        state.nextAt = MonotonicClock::now();
        ++n;
    }
    return n;
}

/// Decides when the next call of a watch is made and how long the store may hold it open.
void StoreClient::Private::scheduleNextCall(const HttpCall &finished, WatchState &watch) const
{
    const bool isHistoryGone = finished.code == CURLE_OK && finished.status == 410;
    const bool isSuccess = finished.isOk() || isHistoryGone;
    const auto pause = finished.isList ? Duration::zero() : watchPause();
    if (isSuccess) {
        watch.timer.answered();
    }
    if (finished.isList) {
        watch.isListSlow = finished.code == CURLE_OPERATION_TIMEDOUT;
    }
    watch.nextAt = MonotonicClock::now() + (isSuccess ? pause : WatchRetryDelay);
    if (!finished.isOk() && (isHistoryGone || finished.isList)) {
        watch.restartList();
    }
    if (!isSuccess) {
        watch.wait = m_settings.shortestWatchTimeout;
    } else if (!finished.isList) {
        watch.wait = 2 * waitOf(watch);
    }
}

Duration StoreClient::Private::watchPause() const
{
    const double callers = m_feed.isWatcher ? 1 : static_cast<double>(m_daemonCount.load());
    const double scale = std::max(1.0, callers / DaemonsAtBaseWatchPause);
    const auto pause = duration_cast<Duration>(m_settings.watchPause * scale);
    return std::min(pause, std::max(m_settings.watchPause, m_settings.longestWatchPause));
}

Duration StoreClient::Private::waitOf(const WatchState &state) const
{
    const bool isLimited = state.wait > Duration::zero() && state.wait < m_settings.watchTimeout;
    return isLimited ? state.wait : m_settings.watchTimeout;
}

}
