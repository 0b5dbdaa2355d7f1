#include <utility>

#include "base/guard_p.h"
#include "objectstore/storeclient_p.h"

/// The changes that the store client takes from other daemons instead of the store, and those that it passes on.
namespace Galenarock
{

/// Takes what other daemons pass on, and what they are known to have.
void StoreClient::Private::applyFeed(Instant now)
{
    std::vector<WatchChange> changes;
    {
        const std::lock_guard lock(m_feedMutex);
        m_feed = m_requestedFeed;
        changes.swap(m_fedChanges);
    }
    for (auto &it : changes) {
        runGuarded("change of another daemon", [&] { applyChange(now, it); });
    }
}

void StoreClient::Private::applyChange(Instant now, WatchChange &change)
{
    const auto found = m_watches.find(change.kind);
    const bool isUsable = found != m_watches.end() && found->second.isEnabled && found->second.revision != 0
        && change.era == m_era && change.to > found->second.revision;
    if (!isUsable) {
        return;
    }
    auto &state = found->second;
    if (change.from > state.revision) {
        state.feedLag.lost(now, m_settings.feedGrace);
        return;
    }
    const bool isNews = !change.items.empty() || !change.removed.empty();
    ObjectPage page;
    page.revision = change.to;
    page.items = std::move(change.items);
    page.removed = std::move(change.removed);
    if (m_delivery.deliver(change.kind, page, false, state) == PageEnd::EventLost) {
        state.relistAt(now + WatchRetryDelay);
        return;
    }
    m_metrics.counter("galenarock_platform_changes_total", "source=\"peer\"").add();
    state.revision = change.to;
    if (isNews) {
        state.unchangedSince = change.to;
    }
    m_handler(KindSyncedEvent{change.kind, change.to, state.lastChange});
}

/// Whether the kind needs no watch call of this daemon now.
bool StoreClient::Private::isFed(Instant now, const std::string &kind, WatchState &state) const
{
    const bool isRelistDue = now - state.listedAt > m_settings.relistInterval * m_settings.fedRelistFactor;
    if (state.needsList || isRelistDue || m_budget.isInOutage()) {
        return false;
    }
    return state.feedLag.keepsUp(now, m_feed, kind, state.revision, m_settings.feedGrace);
}

void StoreClient::Private::share(WatchChange change) const
{
    if (m_feed.isWatcher && m_changeHook && change.from != 0) {
        m_changeHook(change);
    }
}

/// What the page changes, before it is passed on; for a list of several pages what all of them change, with the last
/// one. Empty, with `from` 0, when that is not known.
WatchChange StoreClient::Private::changeOf(const HttpCall &call, const ObjectPage &page, WatchState &watch) const
{
    if (!m_feed.isWatcher) {
        return {};
    }
    if (call.isList) {
        return changeOfList(call, page, watch);
    }
    return {call.key.kind, m_era, watch.unchangedSince, page.revision, page.items, page.removed};
}

WatchChange StoreClient::Private::changeOfList(const HttpCall &call, const ObjectPage &page, WatchState &watch) const
{
    if (watch.listAfter.empty()) {
        watch.listed = {call.key.kind, m_era, watch.unchangedSince, page.revision, {}, {}};
    }
    for (const auto &it : page.items) {
        if (it.version > watch.listed.from) {
            watch.listed.items.push_back(it);
        }
    }
    if (!page.nextAfter.empty()) {
        return {};
    }
    auto names = watch.listedNames;
    for (const auto &it : page.items) {
        names.insert(it.key.name);
    }
    for (const auto &[name, version] : watch.deliveredVersions) {
        if (names.count(name) == 0) {
            watch.listed.removed.push_back({call.key.kind, name});
        }
    }
    return std::move(watch.listed);
}

}
