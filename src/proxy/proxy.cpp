#include <galenarock/proxy.h>

#include <vector>

#include "events_p.h"
#include "worker_p.h"

namespace Galenarock
{

namespace
{
/// Collected and streamed responses may take this part of what callers may hold.
constexpr std::size_t HeldResponsesDivisor = 4;
}

class Proxy::Impl
{
public:
    explicit Impl(ProxyShared &shared)
        : shared(shared)
    {
    }

    ProxyShared &shared;
    std::shared_ptr<CallerBudget> budget;
    std::vector<std::unique_ptr<Worker>> workers;
};

Proxy::Proxy(ProxyShared &shared)
    : m_impl(std::make_unique<Impl>(shared))
{
}

Proxy::~Proxy() = default;

Result<void> Proxy::start(const ProxySettings &settings)
{
    m_impl->shared.setWorkers(settings.workers);
    ListenerSettings listener{settings.listenAddress, settings.workers > 1};
    listener.headerBytes = settings.headerBytes;
    listener.idleSeconds = settings.callerIdleSeconds;
    if (settings.memoryMb > 0) {
        auto limits = callerBounds(settings.memoryMb, settings.maxDescriptors);
        limits.connections = std::max<std::size_t>(1, limits.connections / settings.workers);
        HeldBytes::setLimit(limits.bytes / HeldResponsesDivisor / settings.workers);
        m_impl->budget = std::make_shared<CallerBudget>(limits);
        listener.budget = m_impl->budget;
    }
    for (unsigned n = 0; n < settings.workers; ++n) {
        auto worker = std::make_unique<Worker>(m_impl->shared);
        worker->setServerIdleLimit(settings.serverIdleSeconds);
        BOOST_LEAF_CHECK(worker->listen(listener));
        worker->start(n);
        listener.address = worker->address();
        m_impl->workers.push_back(std::move(worker));
    }
    logEvent(Events::ListenerStarted, "accepting callers on {} with {} workers", address(), settings.workers);
    return {};
}

std::string Proxy::address() const
{
    return m_impl->workers.empty() ? std::string() : m_impl->workers.front()->address();
}

double Proxy::cpuSeconds() const
{
    double total = 0;
    for (const auto &it : m_impl->workers) {
        total += it->cpuSeconds();
    }
    return total;
}

void Proxy::wake()
{
    for (const auto &it : m_impl->workers) {
        it->wake();
    }
}

void Proxy::quiesce()
{
    for (const auto &it : m_impl->workers) {
        it->quiesce();
    }
}

void Proxy::closeIdle()
{
    for (const auto &it : m_impl->workers) {
        it->closeIdle();
    }
}

std::size_t Proxy::connectionCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_impl->workers) {
        n += it->connectionCount();
    }
    return n;
}

std::size_t Proxy::callerBytes() const
{
    return m_impl->budget ? m_impl->budget->bytes() : 0;
}

void Proxy::stop()
{
    for (const auto &it : m_impl->workers) {
        it->stop();
    }
}

}
