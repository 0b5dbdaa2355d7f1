#include "placement_p.h"

#include <algorithm>
#include <tuple>

namespace Galenarock
{

namespace
{
class SuccessorChooser
{
public:
    SuccessorChooser(const PlacementInput &input, std::vector<DraftSlice> &slices)
        : m_input(input)
        , m_slices(slices)
        , m_pairs(input.servers.size(), std::vector<std::uint32_t>(input.servers.size()))
        , m_owned(input.servers.size())
        , m_firstFor(input.servers.size())
    {
        for (std::size_t n = 0; n < input.servers.size(); ++n) {
            if (input.servers[n].usable) {
                m_usable.push_back(static_cast<ServerIndex>(n));
            }
        }
        for (const auto &it : slices) {
            ++m_owned[it.owner];
        }
    }

    void run()
    {
        for (auto &it : m_slices) {
            keepValid(it);
        }
        for (auto &it : m_slices) {
            fill(it);
        }
    }

private:
    const std::string &domain(ServerIndex server) const
    {
        return m_input.servers[server].failureDomain;
    }

    bool hasOtherDomain(ServerIndex owner) const
    {
        return std::any_of(m_usable.begin(), m_usable.end(),
                           [&](ServerIndex it) { return domain(it) != domain(owner); });
    }

    /// Most slices of `owner` that one first successor may have: twice the even share.
    std::uint32_t pairBound(ServerIndex owner) const
    {
        const auto others = static_cast<std::uint32_t>(std::max<std::size_t>(m_usable.size(), 2) - 1);
        return 2 * ((m_owned[owner] + others - 1) / others);
    }

    bool isValid(const DraftSlice &slice, ServerIndex server, const std::vector<ServerIndex> &chosen) const
    {
        if (server >= m_input.servers.size() || !m_input.servers[server].usable || server == slice.owner
            || std::find(chosen.begin(), chosen.end(), server) != chosen.end()) {
            return false;
        }
        const bool isFull = chosen.empty() && m_pairs[slice.owner][server] >= pairBound(slice.owner);
        return !isFull && (domain(server) != domain(slice.owner) || !hasOtherDomain(slice.owner));
    }

    void keepValid(DraftSlice &slice)
    {
        std::vector<ServerIndex> kept;
        for (const auto it : slice.successors) {
            if (kept.size() < successorCount && isValid(slice, it, kept)) {
                kept.push_back(it);
            }
        }
        slice.successors = std::move(kept);
        if (!slice.successors.empty()) {
            count(slice);
        }
    }

    void count(const DraftSlice &slice)
    {
        ++m_pairs[slice.owner][slice.successors.front()];
        ++m_firstFor[slice.successors.front()];
    }

    void fill(DraftSlice &slice)
    {
        while (slice.successors.size() < successorCount) {
            const auto best = choose(slice);
            if (best == noServer) {
                return;
            }
            slice.successors.push_back(best);
            if (slice.successors.size() == 1) {
                count(slice);
            }
        }
    }

    ServerIndex choose(const DraftSlice &slice) const
    {
        const auto &chosen = slice.successors;
        const auto rank = [&](ServerIndex it) {
            const bool sharesDomain = domain(it) == domain(slice.owner);
            const bool sharesFirst = !chosen.empty() && domain(it) == domain(chosen.front());
            return std::make_tuple(sharesDomain, sharesFirst, m_pairs[slice.owner][it], m_firstFor[it],
                                   ~preference(m_input.servers[it].identity, slice.range.first));
        };
        ServerIndex best = noServer;
        for (const auto it : m_usable) {
            if (it == slice.owner || std::find(chosen.begin(), chosen.end(), it) != chosen.end()) {
                continue;
            }
            best = best == noServer || rank(it) < rank(best) ? it : best;
        }
        return best;
    }

    const PlacementInput &m_input;
    std::vector<DraftSlice> &m_slices;
    std::vector<ServerIndex> m_usable;
    /// Slices of an owner (first index) whose first successor is the second index.
    std::vector<std::vector<std::uint32_t>> m_pairs;
    std::vector<std::uint32_t> m_owned;
    std::vector<std::uint32_t> m_firstFor;
};
}

void chooseSuccessors(const PlacementInput &input, std::vector<DraftSlice> &slices)
{
    SuccessorChooser(input, slices).run();
}

}
