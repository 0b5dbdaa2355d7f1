#include "slices_p.h"

#include <algorithm>

namespace Galenarock
{

void LeaseSlices::assign(std::vector<LeaseSlice> slices)
{
    m_slices = std::move(slices);
}

void LeaseSlices::clear()
{
    m_slices.clear();
    m_possibleHolders.clear();
}

LeaseSlice *LeaseSlices::withOpenCall(std::uint64_t number)
{
    const auto it = std::find_if(m_slices.begin(), m_slices.end(),
                                 [&](const LeaseSlice &slice) { return slice.openCall == number; });
    return it == m_slices.end() ? nullptr : &*it;
}

LeaseSlice *LeaseSlices::isolate(const SliceRange &range)
{
    const auto found = std::find_if(m_slices.begin(), m_slices.end(), [&](const LeaseSlice &it) {
        return it.range.first <= range.first && range.last <= it.range.last;
    });
    if (found == m_slices.end() || found->openCall != 0 || found->isBusy()) {
        return nullptr;
    }
    auto index = static_cast<std::size_t>(found - m_slices.begin());
    const auto whole = *found;
    if (range.first > whole.range.first) {
        m_slices[index].range.last = range.first - 1;
        ++index;
        m_slices.insert(m_slices.begin() + static_cast<std::ptrdiff_t>(index), whole);
    }
    m_slices[index].range = range;
    if (range.last < whole.range.last) {
        auto rest = whole;
        rest.range.first = range.last + 1;
        m_slices.insert(m_slices.begin() + static_cast<std::ptrdiff_t>(index) + 1, rest);
    }
    return &m_slices[index];
}

void LeaseSlices::join(const std::function<bool(const LeaseSlice &, const LeaseSlice &)> &mayJoin,
                       const std::function<void(LeaseSlice &)> &onJoined)
{
    for (std::size_t n = 0; n + 1 < m_slices.size();) {
        auto &a = m_slices[n];
        const auto &b = m_slices[n + 1];
        if (!mayJoin(a, b)) {
            ++n;
            continue;
        }
        a.range.last = b.range.last;
        a.holdsUntil = std::max(a.holdsUntil, b.holdsUntil);
        a.unansweredUntil = std::max(a.unansweredUntil, b.unansweredUntil);
        a.grantedUntil = std::min(a.grantedUntil, b.grantedUntil);
        m_slices.erase(m_slices.begin() + static_cast<std::ptrdiff_t>(n) + 1);
        onJoined(m_slices[n]);
    }
}

void LeaseSlices::addPossibleHolder(const PossibleHolder &possible)
{
    m_possibleHolders.push_back(possible);
}

void LeaseSlices::expirePossibleHolders(Instant now)
{
    m_possibleHolders.erase(std::remove_if(m_possibleHolders.begin(), m_possibleHolders.end(),
                                           [&](const PossibleHolder &it) { return it.until <= now; }),
                            m_possibleHolders.end());
}

void LeaseSlices::limitGrantEnds(Instant limit)
{
    for (auto &it : m_possibleHolders) {
        it.until = std::min(it.until, limit);
    }
    for (auto &it : m_slices) {
        it.holdsUntil = std::min(it.holdsUntil, limit);
        it.unansweredUntil = std::min(it.unansweredUntil, limit);
        it.targetHoldsUntil = std::min(it.targetHoldsUntil, limit);
    }
}

bool LeaseSlices::isPossibleHolder(const Identity &server) const
{
    return std::any_of(m_possibleHolders.begin(), m_possibleHolders.end(),
                       [&](const PossibleHolder &it) { return it.server == server; });
}

const PossibleHolder *LeaseSlices::otherPossibleHolder(const SliceRange &range, const Identity &server) const
{
    const auto it =
        std::find_if(m_possibleHolders.begin(), m_possibleHolders.end(), [&](const PossibleHolder &possible) {
            return possible.server != server && possible.range.overlaps(range);
        });
    return it == m_possibleHolders.end() ? nullptr : &*it;
}

}
