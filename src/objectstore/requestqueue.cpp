#include "objectstore/requestqueue_p.h"

#include <algorithm>
#include <utility>

namespace Galenarock
{

namespace
{
/// Maximum number of queued requests of one priority.
constexpr std::size_t MaxQueuedRequests = 512;
}

RequestQueue::Call RequestQueue::push(Call call, CallPriority priority, Instant now)
{
    auto &queue = m_queues[static_cast<std::size_t>(priority)];
    const auto isSameRead = [&](const PendingCall &it) {
        return it.call->kind == call->kind && it.call->key == call->key;
    };
    if (call->kind != CallKind::Write && std::any_of(queue.begin(), queue.end(), isSameRead)) {
        return nullptr;
    }
    if (queue.size() >= MaxQueuedRequests) {
        return call;
    }
    queue.push_back({std::move(call), now});
    return nullptr;
}

RequestQueue::Call RequestQueue::takeExpired(Instant now, Duration timeout)
{
    for (auto &queue : m_queues) {
        if (!queue.empty() && now - queue.front().queuedAt > timeout) {
            auto call = std::move(queue.front().call);
            queue.pop_front();
            return call;
        }
    }
    return nullptr;
}

void RequestQueue::takeAllowed(Instant now, CallBudget &budget, const std::function<void(Call)> &start)
{
    for (std::size_t n = 0; n < m_queues.size(); ++n) {
        auto &queue = m_queues[n];
        while (!queue.empty()) {
            const auto type = queue.front().call->kind == CallKind::Write ? CallType::Write : CallType::Read;
            if (!budget.tryTake(now, static_cast<CallPriority>(n), type)) {
                break;
            }
            start(std::move(queue.front().call));
            queue.pop_front();
        }
    }
}

bool RequestQueue::isEmpty() const
{
    return std::all_of(m_queues.begin(), m_queues.end(), [](const auto &it) { return it.empty(); });
}

}
