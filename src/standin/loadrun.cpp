#include "loadrun_p.h"

#include <algorithm>

#include <fmt/format.h>

namespace Galenarock::Standin
{

LoadRun::LoadRun(EventLoop &loop, LoadOptions options, std::function<void()> onFinished)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_onFinished(std::move(onFinished))
    , m_workload(m_options.workload)
    , m_transfers(loop, static_cast<long>(m_options.connections))
    , m_entries(loop, m_transfers, m_options.entries, m_options.readiness)
    , m_idRandom(randomNonce()) // ids must differ between runs, since ledger owners record them
    , m_window(std::make_unique<LatencyHistogram>())
{
    for (std::size_t i = 0; i < m_options.workload.mix.size(); ++i) {
        m_latencies.push_back(std::make_unique<LatencyHistogram>());
    }
}

void LoadRun::start()
{
    m_startedAt = MonotonicClock::now();
    m_entries.start();
    scheduleNext();
}

void LoadRun::scheduleNext()
{
    m_next = m_workload.next();
    if (!m_next) {
        checkFinished();
        return;
    }
    m_loop.at(m_startedAt + m_next->at, [this] { arrive(); });
}

void LoadRun::arrive()
{
    // All requests whose time has come, so that a late wake-up does not lower the rate.
    const auto now = elapsed();
    while (m_next && m_next->at <= now) {
        RequestRecord record;
        record.number = m_next->number;
        record.service = m_next->service;
        record.key = m_next->key;
        record.intended = m_next->at;
        record.verdict = AttemptVerdict::NotSent;
        record.reason = "unfinished";
        Flight flight;
        flight.record = m_records.size();
        if (!profile(record).isRepeatable) {
            flight.requestId = makeRequestId(wallClockNow(), m_idRandom(), m_idRandom());
        }
        m_records.push_back(std::move(record));
        m_waiting.push_back(std::move(flight));
        m_next = m_workload.next();
    }
    launchWaiting();
    if (m_next) {
        m_loop.at(m_startedAt + m_next->at, [this] { arrive(); });
        return;
    }
    checkFinished();
}

void LoadRun::stopSending()
{
    m_next.reset();
    m_waiting.clear();
    checkFinished();
}

void LoadRun::launchWaiting()
{
    while (m_underWay < m_options.connections && !m_waiting.empty()) {
        auto flight = std::move(m_waiting.front());
        m_waiting.pop_front();
        launch(std::move(flight));
    }
}

std::uint64_t LoadRun::bodyBytes(const ServiceProfile &profile) const
{
    switch (profile.trafficClass) {
    case TrafficClass::Read:
        return 0;
    case TrafficClass::Order:
        return m_options.orderBytes;
    case TrafficClass::Upload:
        break;
    }
    return m_options.uploadBytes;
}

TransferRequest LoadRun::makeRequest(const Flight &flight, const std::string &entry)
{
    const auto &record = m_records[flight.record];
    const auto &service = profile(record);
    TransferRequest request;
    request.method = service.method;
    request.url = "http://" + entry + makeTarget(service, record.key, m_options.run, record.number);
    request.number = record.number;
    request.bodyBytes = bodyBytes(service);
    request.chunkBytes = m_options.chunkBytes;
    // Half of the uploads have no Content-Length, so both ways of sending a body are exercised.
    request.isChunked = service.trafficClass == TrafficClass::Upload && record.number % 2 == 0;
    request.timeout = m_options.timeout;
    request.headers.emplace_back("Expect:");
    if (!service.keyHeader.empty()) {
        request.headers.push_back(service.keyHeader + ": " + keyName(record.key));
    }
    if (!flight.requestId.empty()) {
        request.headers.push_back("Idempotency-Key: " + flight.requestId);
    }
    return request;
}

void LoadRun::launch(Flight flight)
{
    ++m_underWay;
    if (flight.refusals == 0) {
        ++m_records[flight.record].attempts;
        m_records[flight.record].verdict = AttemptVerdict::Unknown;
    }
    const auto entry = m_entries.next();
    auto request = makeRequest(flight, m_entries.address(entry));
    m_transfers.start(std::move(request), [this, flight = std::move(flight), entry](const TransferResult &result) {
        onDone(flight, entry, result);
    });
}

void LoadRun::onDone(Flight flight, std::size_t entry, const TransferResult &result)
{
    --m_underWay;
    if (result.isRefused) {
        m_entries.noteRefused(entry);
        if (++flight.refusals < m_entries.size()) {
            launch(std::move(flight));
            return;
        }
    }
    flight.refusals = 0;
    auto &record = m_records[flight.record];
    const SentRequest sent{record.number, result.bodyDigest, bodyBytes(profile(record))};
    note(record, judge(result.response, sent, m_options.run), result.response.reason);
    if (resends(record)) {
        ++m_resending;
        m_loop.after(m_options.resendDelay, [this, flight = std::move(flight)] {
            --m_resending;
            m_waiting.push_front(flight);
            launchWaiting();
        });
    } else {
        complete(record);
    }
    launchWaiting();
    checkFinished();
}

void LoadRun::note(RequestRecord &record, AttemptVerdict verdict, const std::string &reason)
{
    record.verdict = verdict;
    record.reason = verdict == AttemptVerdict::NotSent ? "no-entry" : reason;
    record.wasMixedUp = record.wasMixedUp || verdict == AttemptVerdict::MixedUp;
    record.wasCut = record.wasCut || verdict == AttemptVerdict::Cut;
    record.wasUnknown = record.wasUnknown || verdict == AttemptVerdict::Unknown;
}

bool LoadRun::resends(const RequestRecord &record) const
{
    return !profile(record).isRepeatable && record.outcome() == Outcome::Unknown && !record.wasMixedUp && !record.wasCut
        && record.attempts <= m_options.resends;
}

void LoadRun::complete(const RequestRecord &record)
{
    auto &stored = m_records[record.number];
    stored.finished = elapsed();
    switch (record.outcome()) {
    case Outcome::Answered: {
        const auto latency = std::chrono::duration<double>(stored.finished - stored.intended).count();
        m_latencies[record.service]->record(latency);
        m_window->record(latency);
        ++m_answered;
        return;
    }
    case Outcome::NotRun:
        ++m_notRun;
        return;
    case Outcome::Unknown:
        ++m_unknown;
        return;
    }
}

void LoadRun::checkFinished()
{
    const auto isBusy = m_next.has_value() || !m_waiting.empty() || m_underWay > 0 || m_resending > 0;
    if (isBusy || m_finished) {
        return;
    }
    m_finished = true;
    m_onFinished();
}

std::string LoadRun::progressLine()
{
    const auto window = std::move(m_window);
    m_window = std::make_unique<LatencyHistogram>();
    return fmt::format(
        "{:5.1f} s  sent {}  answered {}  not-run {}  unknown {}  under way {}  waiting {}  p50 {:.1f} ms  "
        "p99 {:.1f} ms",
        std::chrono::duration<double>(elapsed()).count(), m_records.size(), m_answered, m_notRun, m_unknown, m_underWay,
        m_waiting.size(), window->quantile(0.5) * 1e3, window->quantile(0.99) * 1e3);
}

}
