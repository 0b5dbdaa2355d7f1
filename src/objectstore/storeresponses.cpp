#include <algorithm>
#include <utility>

#include "objectstore/answers_p.h"
#include "objectstore/events_p.h"
#include "objectstore/storeclient_p.h"

/// What the responses of the store say, passed to the handler of the store client as events.
namespace Galenarock
{

namespace
{
/// Whether the kind may have changed since the page before. A list does not tell what was removed meanwhile.
bool mayHoldNews(const HttpCall &call, const ObjectPage &page)
{
    return call.isList || !page.items.empty() || !page.removed.empty() || !page.skipped.empty();
}
}

void StoreClient::Private::onRead(const HttpCall &call)
{
    if (call.code == CURLE_OK && call.status == 404) {
        m_handler(ObjectMissingEvent{call.key});
    }
    if (!call.isOk()) {
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, m_settings.dialect.decodeObject(call.key, call.response));
            object.era = call.era;
            m_handler(ObjectEvent{std::move(object), true});
            return {};
        },
        [&](ErrorCode code, const std::string &detail) { reportMalformedResponse(call, code, detail); });
}

void StoreClient::Private::onWrite(const HttpCall &call)
{
    auto event = decodeWriteResult(m_settings.dialect, call);
    if (event.status == WriteStatus::Unknown) {
        logEvent(Events::PlatformWriteUnknown, "{}/{} may have been written: {}, HTTP status {}", call.key.kind,
                 call.key.name, curl_easy_strerror(call.code), call.status);
    } else if (event.status == WriteStatus::NotSent && call.isSent) {
        logEvent(Events::PlatformWriteRefused, "{}/{} was refused by the platform: HTTP status {}: {}", call.key.kind,
                 call.key.name, call.status, call.response.substr(0, 120));
    }
    m_handler(std::move(event));
}

void StoreClient::Private::onObjects(const HttpCall &call)
{
    auto *watch = watchOf(call);
    if (watch) {
        watch->inFlight = nullptr;
        scheduleNextCall(call, *watch);
    }
    if (!call.isOk()) {
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            const auto &dialect = m_settings.dialect;
            const auto &kind = call.key.kind;
            const bool isList = call.isList || !watch;
            BOOST_LEAF_AUTO(
                page, isList ? dialect.decodeList(kind, call.response) : dialect.decodeWatch(kind, call.response));
            deliverPage(call, page, watch);
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            reportMalformedResponse(call, code, detail);
            if (watch) {
                watch->relistAt(MonotonicClock::now() + WatchRetryDelay);
            }
        });
}

void StoreClient::Private::deliverPage(const HttpCall &call, ObjectPage &page, WatchState *watch)
{
    const auto &kind = call.key.kind;
    for (auto &it : page.items) {
        it.era = call.era;
    }
    for (const auto &it : page.skipped) {
        reportMalformedResponse(call, it.code, it.place + ": " + it.message);
    }
    if (!watch) {
        m_delivery.deliver(page);
        return;
    }
    // Others may have passed on what this call has read, and more.
    if (call.fromRevision < watch->revision && page.revision <= watch->revision) {
        watch->endList();
        return;
    }
    auto change = changeOf(call, page, *watch);
    const bool isNews = mayHoldNews(call, page);
    switch (m_delivery.deliver(kind, page, call.isList, *watch)) {
    case PageEnd::MorePages:
        return;
    case PageEnd::EventLost:
        watch->relistAt(MonotonicClock::now() + WatchRetryDelay);
        return;
    case PageEnd::Complete:
        break;
    }
    const auto revision = call.isList ? watch->listRevision : page.revision;
    watch->unchangedSince = isNews ? revision : std::min(watch->unchangedSince, revision);
    finishPage(call, revision, *watch, std::move(change));
}

/// All objects of the kind up to `revision` have been passed on; `change` says which of them are new.
void StoreClient::Private::finishPage(const HttpCall &call, std::uint64_t revision, WatchState &watch,
                                      WatchChange change)
{
    // A lower revision than before means that the platform responded from an outdated copy, so the kind is listed
    // again.
    if (revision < watch.revision) {
        watch.restartList();
    } else {
        watch.needsList = false;
    }
    const bool isNew = revision > watch.revision;
    if (watch.revision == 0) {
        watch.lastChange = std::max(watch.lastChange, revision);
    }
    watch.revision = revision;
    m_handler(KindSyncedEvent{call.key.kind, revision, watch.lastChange});
    if (isNew) {
        share(std::move(change));
    }
}

void StoreClient::Private::onVmList(const HttpCall &call)
{
    m_vmListPoll.ended();
    if (!call.isOk()) {
        return;
    }
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(m_vmListPoll.update(call.response));
            m_handler(VmListEvent{m_vmListPoll.list()});
            return {};
        },
        [&](ErrorCode code, const std::string &detail) { reportMalformedResponse(call, code, detail); });
}

void StoreClient::Private::reportMalformedResponse(const HttpCall &call, ErrorCode code, const std::string &detail)
{
    m_metrics.counter("galenarock_platform_malformed_total").add();
    logEvent(Events::PlatformMalformedAnswer, "{} {}/{} returned a malformed response: {}: {}", nameOf(call.kind),
             call.key.kind, call.key.name, errorMessage(code), detail);
}

}
