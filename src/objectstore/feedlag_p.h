#pragma once

#include <optional>
#include <string>

#include <galenarock/storeclient.h>

namespace Galenarock
{

/// Whether one watched kind keeps up by what other daemons pass on, so that it needs no watch call of its own. Does no
/// I/O.
class FeedLag
{
public:
    /// `revision` is what this daemon has of the kind. A daemon that is behind waits for `grace`, since a change may be
    /// on its way.
    bool keepsUp(Instant now, const WatchFeedView &view, const std::string &kind, std::uint64_t revision,
                 Duration grace)
    {
        if (now >= view.fedUntil || view.unfedKinds.count(kind) > 0) {
            m_behindSince.reset();
            return false;
        }
        const auto newest = view.newest.find(kind);
        if (newest == view.newest.end() || newest->second <= revision) {
            m_behindSince.reset();
            return true;
        }
        m_behindSince = m_behindSince.value_or(now);
        return now - *m_behindSince < grace;
    }
    /// A change was lost, so there is nothing to wait for.
    void lost(Instant now, Duration grace)
    {
        m_behindSince = now - grace;
    }

private:
    std::optional<Instant> m_behindSince;
};

}
