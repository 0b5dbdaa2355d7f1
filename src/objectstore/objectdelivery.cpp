#include "objectstore/objectdelivery_p.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Galenarock
{

void WatchState::restartList()
{
    needsList = true;
    listAfter.clear();
    listedNames.clear();
}

void WatchState::relistAt(Instant at)
{
    restartList();
    nextAt = at;
}

void WatchState::endList()
{
    restartList();
    needsList = false;
}

void WatchState::restartEra()
{
    restartList();
    revision = 0;
    lastChange = 0;
    unchangedSince = 0;
    for (auto &[name, version] : deliveredVersions) {
        version = 0; // the name still tells which objects are missing from the list
    }
}

ObjectDelivery::ObjectDelivery(Handler handler)
    : m_handler(std::move(handler))
{
}

void ObjectDelivery::deliver(ObjectPage &page) const
{
    for (auto &it : page.items) {
        m_handler(ObjectEvent{std::move(it), true});
    }
    for (auto &it : page.removed) {
        m_handler(ObjectMissingEvent{std::move(it)});
    }
}

PageEnd ObjectDelivery::deliver(const std::string &kind, ObjectPage &page, bool isList, WatchState &watch) const
{
    bool areTaken = true;
    if (isList && watch.listAfter.empty()) {
        watch.listRevision = page.revision;
    }
    for (auto &it : page.items) {
        watch.listedNames.insert(it.key.name);
        // The changes since the first page of a list contain older versions of objects of later pages. In a list a
        // lower version is a new object under an old name.
        const auto delivered = watch.deliveredVersions.find(it.key.name);
        const bool isOutdated = !isList && delivered != watch.deliveredVersions.end() && it.version < delivered->second;
        areTaken = (isOutdated || deliverObject(std::move(it), watch)) && areTaken;
    }
    for (const auto &it : page.removed) {
        areTaken = deliverRemoval(it, page.revision, watch) && areTaken;
    }
    if (!areTaken) {
        return PageEnd::EventLost;
    }
    if (isList && !page.nextAfter.empty()) {
        watch.listAfter = page.nextAfter;
        return PageEnd::MorePages;
    }
    return !isList || reportMissing(kind, page.revision, watch) ? PageEnd::Complete : PageEnd::EventLost;
}

bool ObjectDelivery::deliverObject(StoredObject &&object, WatchState &watch) const
{
    const auto name = object.key.name;
    const auto version = object.version;
    const bool isTaken = m_handler(ObjectEvent{std::move(object), true});
    if (isTaken) {
        watch.deliveredVersions[name] = version;
        watch.lastChange = std::max(watch.lastChange, version);
    }
    return isTaken;
}

bool ObjectDelivery::deliverRemoval(const ObjectKey &key, std::uint64_t revision, WatchState &watch) const
{
    const bool isTaken = m_handler(ObjectMissingEvent{key});
    if (isTaken) {
        watch.deliveredVersions.erase(key.name);
        watch.lastChange = std::max(watch.lastChange, revision);
    }
    return isTaken;
}

bool ObjectDelivery::reportMissing(const std::string &kind, std::uint64_t revision, WatchState &watch) const
{
    std::vector<std::string> missing;
    for (const auto &[name, version] : watch.deliveredVersions) {
        if (watch.listedNames.count(name) == 0) {
            missing.push_back(name);
        }
    }
    bool areTaken = true;
    for (const auto &it : missing) {
        areTaken = deliverRemoval({kind, it}, revision, watch) && areTaken;
    }
    watch.listedNames.clear();
    watch.listAfter.clear();
    return areTaken;
}

}
