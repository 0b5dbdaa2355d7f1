#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <galenarock/control.h>
#include <galenarock/storeclient.h>

#include "objectstore/feedlag_p.h"
#include "objectstore/watchtimer_p.h"

namespace Galenarock
{

class HttpCall;

/// State of the watch of one kind.
struct WatchState
{
    bool isEnabled = false;
    bool needsList = true;
    HttpCall *inFlight = nullptr;
    std::uint64_t revision = 0;
    /// Revision of the kind's last change that was passed on. For a removal, whose own revision is not known, that of
    /// the page; for the first list, which does not tell what was removed before, its own.
    std::uint64_t lastChange = 0;
    /// Nothing of the kind has changed between this revision and `revision`. A change that is passed on begins here, so
    /// that daemons can use it that missed news of no change.
    std::uint64_t unchangedSince = 0;
    /// Name after which the next page of a list starts; empty for the first page.
    std::string listAfter;
    /// Versions of the objects that were passed on, by name.
    std::map<std::string, std::uint64_t> deliveredVersions;
    /// Names in the pages of the list in progress.
    std::set<std::string> listedNames;
    /// Revision of the first page of the list in progress. The watch continues from it: an object of an early page may
    /// change while later pages are read.
    std::uint64_t listRevision = 0;
    Instant nextAt;
    /// How long the store may hold the next call open; zero for as long as the settings say.
    Duration wait{};
    Instant listedAt;
    /// The last list had no answer within StoreClientSettings::listTimeout.
    bool isListSlow = false;
    FeedLag feedLag;
    WatchTimer timer;
    /// What the pages of the list in progress have changed, to be passed on.
    WatchChange listed;

    void restartList();
    /// Lists the kind again, not before `at`.
    void relistAt(Instant at);
    /// No list is needed: what is known is newer.
    void endList();
    /// For a store that continues from an older copy: lists the kind again, whose versions begin anew.
    void restartEra();
};

enum class PageEnd : std::uint8_t
{
    /// More pages of the list follow.
    MorePages,
    /// All objects of the kind have been passed on.
    Complete,
    /// An event could not be passed on; the kind has to be listed again.
    EventLost,
};

/// Passes the objects of lists and watches on as events, and records in the WatchState what was passed on.
class ObjectDelivery
{
public:
    /// Returns false when the event could not be taken.
    using Handler = std::function<bool(ControlEvent)>;

    explicit ObjectDelivery(Handler handler);

    /// Objects of a list that was asked for once; lost events are the caller's to repeat.
    void deliver(ObjectPage &page) const;
    /// Objects of one page of a watched kind: of a list, or changes since the last page.
    PageEnd deliver(const std::string &kind, ObjectPage &page, bool isList, WatchState &watch) const;

private:
    bool deliverObject(StoredObject &&object, WatchState &watch) const;
    /// `revision` is that of the page.
    bool deliverRemoval(const ObjectKey &key, std::uint64_t revision, WatchState &watch) const;
    /// Reports objects as missing that were passed on before and that a complete list no longer contains.
    bool reportMissing(const std::string &kind, std::uint64_t revision, WatchState &watch) const;

    Handler m_handler;
};

}
