#include <algorithm>
#include <tuple>
#include <utility>

#include "moveplanner_p.h"

/// Plans the moves of ranges: ranges without a usable holder are assigned first, then the load is balanced.
namespace Galenarock
{

namespace
{
/// Servers for each move of a plan, where that gives more than MinMoveLimit.
constexpr std::size_t ServersPerMove = 4;
/// Assumed service time, in seconds, while no server of the service has a measured one.
constexpr double UnknownServiceSeconds = 0.1;
/// Capacity of a server that states an even lower rate, in requests per second.
constexpr double SlowestRate = 0.1;
/// Maximum number of parts into which a range of a leaving or lost server is divided.
constexpr std::size_t MaxPartsPerRange = 3;
/// Such a range is divided only when it is wider than this fraction of one server's even share of the key space.
constexpr double MinDivisibleShare = 0.3;
constexpr std::size_t MaxRangesPerServer = 12;

/// The server's measured service time, or the mean of the other servers.
double serviceSeconds(const LeaseLoad &load, const Identity &server)
{
    const auto measured = load.serviceSeconds.find(server);
    if (measured != load.serviceSeconds.end()) {
        return measured->second;
    }
    double sum = 0;
    for (const auto &[identity, it] : load.serviceSeconds) {
        sum += it;
    }
    return sum == 0 ? UnknownServiceSeconds : sum / static_cast<double>(load.serviceSeconds.size());
}

/// Requests per second that the server can answer, or takes if it states a lower rate.
double capacityOf(const LeaseServer &server, const LeaseLoad &load)
{
    const double capacity = server.slots / serviceSeconds(load, server.identity);
    const auto rate = load.requestRates.find(server.identity);
    return rate == load.requestRates.end() ? capacity : std::min(capacity, std::max(rate->second, SlowestRate));
}
}

MovePlanner::MovePlanner(std::vector<PlannedSlice> slices, const std::vector<LeaseServer> &servers,
                         const LeaseLoad &load, const LeasePlanLimits &limits)
    : m_slices(std::move(slices))
    , m_load(load)
    , m_parts(load, limits.minRangeWidth)
    , m_minRangeWidth(limits.minRangeWidth)
    , m_maxRanges(std::min(limits.maxRanges, MaxRangesPerServer * servers.size()))
    , m_maxHotMoves(limits.maxBalancingMoves)
    , m_maxMoves(std::min(limits.maxBalancingMoves, std::max(MinMoveLimit, servers.size() / ServersPerMove)))
{
    for (const auto &it : servers) {
        if (it.leaving || it.evacuated) {
            continue;
        }
        m_servers.push_back({&it, capacityOf(it, load), 0});
    }
    for (const auto &it : m_slices) {
        if (auto *server = findServer(it.holder)) {
            server->load += m_parts.loadOf(it.range);
        }
    }
    holdBackEvacuated(servers);
}

std::vector<LeaseMove> MovePlanner::plan()
{
    if (m_servers.empty()) {
        return {};
    }
    const auto slices = m_slices;
    for (const auto &it : slices) {
        if (!it.isBusy && !findServer(it.holder)) {
            assignRange(it);
        }
    }
    computeMeanUtilization();
    divideHotRanges();
    for (auto &it : m_servers) {
        if (m_moves.size() < m_maxMoves && !hasSlices(it)) {
            assignFirstRange(it);
        }
    }
    gatherLightRanges();
    while (m_moves.size() < m_maxMoves && offloadBusiest()) {}
    return std::move(m_moves);
}

PlannedServer *MovePlanner::findServer(const Identity &identity)
{
    for (auto &it : m_servers) {
        if (it.entry->identity == identity) {
            return &it;
        }
    }
    return nullptr;
}

PlannedServer &MovePlanner::leastUtilized()
{
    return *std::min_element(m_servers.begin(), m_servers.end(), [](const PlannedServer &a, const PlannedServer &b) {
        return a.utilization() < b.utilization();
    });
}

PlannedServer &MovePlanner::mostUtilized()
{
    return *std::max_element(m_servers.begin(), m_servers.end(), [](const PlannedServer &a, const PlannedServer &b) {
        return std::make_tuple(!a.isExcluded, a.utilization()) < std::make_tuple(!b.isExcluded, b.utilization());
    });
}

bool MovePlanner::mayDivide() const
{
    return m_slices.size() + 2 <= m_maxRanges;
}

void MovePlanner::move(const SliceRange &range, double load, PlannedServer &target)
{
    target.load += load;
    m_moves.push_back({range, target.entry->identity});
    splitOff(range);
}

void MovePlanner::splitOff(const SliceRange &range)
{
    const auto it = std::find_if(m_slices.begin(), m_slices.end(), [&](const PlannedSlice &slice) {
        return slice.range.contains(range.first) && slice.range.contains(range.last);
    });
    if (it == m_slices.end()) {
        return;
    }
    const auto whole = *it;
    it->range = range;
    it->isBusy = true;
    if (whole.range.first < range.first) {
        m_slices.push_back({{whole.range.first, range.first - 1}, whole.holder, whole.isBusy, whole.isRecent});
    }
    if (range.last < whole.range.last) {
        m_slices.push_back({{range.last + 1, whole.range.last}, whole.holder, whole.isBusy, whole.isRecent});
    }
}

void MovePlanner::computeMeanUtilization()
{
    double load = 0;
    double capacity = 0;
    for (const auto &it : m_servers) {
        load += it.load;
        capacity += it.capacity;
    }
    m_meanUtilization = load / capacity;
}

bool MovePlanner::hasSlices(const PlannedServer &server) const
{
    const auto &identity = server.entry->identity;
    return std::any_of(m_slices.begin(), m_slices.end(), [&](const PlannedSlice &it) { return it.holder == identity; })
        || std::any_of(m_moves.begin(), m_moves.end(), [&](const LeaseMove &it) { return it.target == identity; });
}

void MovePlanner::assignFirstRange(PlannedServer &target)
{
    auto &busiest = mostUtilized();
    const double equalizingLoad = busiest.load * target.capacity / (busiest.capacity + target.capacity);
    if (const auto candidate =
            cheapestPartHeldBy(busiest.entry->identity, MovedFraction * equalizingLoad, equalizingLoad * 1.5, true)) {
        busiest.load -= candidate->load;
        move(candidate->range, candidate->load, target);
    }
}

void MovePlanner::assignRange(const PlannedSlice &slice)
{
    const double total = m_parts.loadOf(slice.range);
    // Narrow ranges are not divided, and no range is when the service has many: while servers keep failing, each
    // plan would divide them again.
    const bool isDivisible =
        widthShare(slice.range) * static_cast<double>(m_servers.size()) > MinDivisibleShare && mayDivide();
    const auto parts = isDivisible ? std::min(MaxPartsPerRange, m_servers.size()) : 1;
    auto remaining = slice.range;
    for (std::size_t n = parts; n > 1; --n) {
        const auto part = m_parts.prefixWithLoad(remaining, total / static_cast<double>(parts));
        if (!part || part->range.last == remaining.last) {
            break;
        }
        move(part->range, part->load, leastUtilized());
        remaining.first = part->range.last + 1;
    }
    move(remaining, m_parts.loadOf(remaining), leastUtilized());
}

std::vector<LeaseMove> planLeaseMoves(const std::vector<PlannedSlice> &slices, const std::vector<LeaseServer> &servers,
                                      const LeaseLoad &load, const LeasePlanLimits &limits)
{
    return MovePlanner(slices, servers, load, limits).plan();
}

}
