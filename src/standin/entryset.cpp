#include "entryset_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr auto checkInterval = milliseconds(250);
constexpr auto refusedPause = milliseconds(500);
}

EntrySet::EntrySet(EventLoop &loop, Transfers &transfers, std::vector<std::string> entries,
                   std::vector<std::string> readiness)
    : m_loop(loop)
    , m_transfers(transfers)
    , m_entries(std::move(entries))
    , m_readiness(std::move(readiness))
    , m_ready(m_entries.size(), 1)
    , m_refusedUntil(m_entries.size())
{
}

void EntrySet::start()
{
    if (!m_readiness.empty()) {
        check();
    }
}

void EntrySet::check()
{
    for (std::size_t i = 0; i < m_readiness.size(); ++i) {
        TransferRequest request;
        request.url = "http://" + m_readiness[i] + "/readyz";
        request.timeout = checkInterval;
        m_transfers.start(std::move(request), [this, i](const TransferResult &result) {
            m_ready[i] = result.response.isComplete && result.response.status == 200;
        });
    }
    m_loop.after(checkInterval, [this] { check(); });
}

bool EntrySet::isUsable(std::size_t entry) const
{
    return m_ready[entry] != 0 && m_refusedUntil[entry] <= MonotonicClock::now();
}

std::size_t EntrySet::next()
{
    for (std::size_t tried = 0; tried < m_entries.size(); ++tried) {
        const auto entry = m_next++ % m_entries.size();
        if (isUsable(entry)) {
            return entry;
        }
    }
    return m_next++ % m_entries.size();
}

void EntrySet::noteRefused(std::size_t entry)
{
    m_refusedUntil[entry] = MonotonicClock::now() + refusedPause;
}

}
