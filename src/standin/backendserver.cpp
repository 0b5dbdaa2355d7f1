#include "backendserver_p.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "events_p.h"
#include "testdirective_p.h"

namespace Galenarock::Standin
{

namespace
{
/// A refused request whose body is larger than this is answered before its body is read, and its connection closed.
constexpr std::uint64_t maxDiscardedBytes = 1'048'576;
constexpr double maxServiceTimeFactor = 20;

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return {};
    }
    return n;
}

bool isAnsweredEarly(const HttpExchangePtr &exchange)
{
    const auto length = parseNumber(exchange->header("Content-Length")).value_or(0);
    return !exchange->header("Expect").empty() || length > static_cast<std::int64_t>(maxDiscardedBytes);
}
}

BackendServer::BackendServer(EventLoop &loop, Journal &journal, BackendOptions options)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(std::move(options))
    , m_server(loop, *this, m_options.connections)
    , m_random(m_options.seed)
{
}

BackendServer::~BackendServer()
{
    // Ends the exchanges while the tables of this object still exist.
    m_server.close();
}

Result<void> BackendServer::open(const ListenAddress &address)
{
    boot();
    return m_server.open(address);
}

void BackendServer::boot()
{
    GrantHolderOptions options;
    options.checks = m_options.checksGrants;
    options.drainNotice = milliseconds(m_options.drainNoticeMs);
    m_holder = std::make_unique<GrantHolder>(m_options.service, randomNonce(), randomNonce(), options);
    m_drainedAt.reset();
    ++m_boots;
    if (m_options.coldMs == 0) {
        return;
    }
    m_holder->setState(ServerState::Cold);
    m_loop.after(milliseconds(m_options.coldMs), [this, bootCount = m_boots] {
        if (bootCount == m_boots && m_holder->state() == ServerState::Cold) {
            m_holder->setState(ServerState::Ready);
        }
    });
}

BackendServer::JobPtr BackendServer::makeJob(const HttpExchangePtr &exchange) const
{
    auto job = std::make_shared<Job>();
    job->exchange = exchange;
    job->requestId = exchange->header("Galenarock-Request-Id");
    job->key = exchange->header("Galenarock-Key");
    job->token = exchange->header("Galenarock-Token");
    job->test = exchange->header("Galenarock-Test");
    job->hash = hashKey(job->key.empty() ? exchange->target() : job->key);
    const auto deadlineMs = parseNumber(exchange->header("Galenarock-Deadline-Ms"));
    if (deadlineMs) {
        job->deadline = MonotonicClock::now() + milliseconds(*deadlineMs);
    }
    return job;
}

void BackendServer::begin(const HttpExchangePtr &exchange)
{
    if (exchange->header("Galenarock-Service").empty() && isSystemPath(exchange->path())) {
        return;
    }
    const auto job = makeJob(exchange);
    exchange->context = job;
    const auto reason = admissionRefusal(job);
    if (reason != Reason::None) {
        refuse(job, reason);
        return;
    }
    if (job->deadline) {
        job->deadlineTimer = m_loop.at(*job->deadline, [this, job] { whenThawed([this, job] { onDeadline(job); }); });
    }
    if (m_running.size() < m_options.slots) {
        start(job);
        return;
    }
    exchange->suspend();
    m_queue.push_back(job);
}

Reason BackendServer::admissionRefusal(const JobPtr &job)
{
    const auto now = MonotonicClock::now();
    if (m_drainedAt && now - *m_drainedAt > milliseconds(m_options.drainNoticeMs)) {
        ++m_lateArrivals;
    }
    if (m_holder->state() == ServerState::Cold) {
        return Reason::ServerCold;
    }
    if (job->deadline && *job->deadline <= now) {
        return Reason::DeadlinePassed;
    }
    const auto token = parseToken(job->token).value_or(Token{});
    const auto reason = grantRefusal(m_holder->check(now, job->hash, token));
    if (reason != Reason::None) {
        return reason;
    }
    const auto isFull = m_running.size() >= m_options.slots && m_queue.size() >= m_options.queueLength;
    const auto isShed = std::uniform_real_distribution<>(0, 100)(m_random) < m_faults.shedPercent;
    return isFull || isShed ? Reason::ServerShed : Reason::None;
}

Reason BackendServer::grantRefusal(GrantCheck check) const
{
    switch (check) {
    case GrantCheck::Accepted:
        return Reason::None;
    case GrantCheck::Draining:
        return Reason::ServerDraining;
    case GrantCheck::NotOwner:
    case GrantCheck::TermEnded:
        break;
    }
    return Reason::NotOwner;
}

void BackendServer::refuse(const JobPtr &job, Reason reason)
{
    const auto wasQueued = job->stage == Stage::Queued && job->exchange->isOpen() && job->exchange->isSuspended();
    job->stage = Stage::Refused;
    m_loop.cancel(job->deadlineTimer);
    job->refusal = refusalResponse(reason, Outcome::NotRun);
    if (isAnsweredEarly(job->exchange)) {
        job->exchange->respond(job->refusal);
        return;
    }
    if (wasQueued) {
        job->exchange->resume(); // the rest of the body is discarded, then complete() responds
    }
}

void BackendServer::start(const JobPtr &job)
{
    const auto token = parseToken(job->token).value_or(Token{});
    const auto now = MonotonicClock::now();
    const auto reason = grantRefusal(m_holder->begin(now, job->hash, token));
    if (reason != Reason::None) {
        refuse(job, reason);
        return;
    }
    JournalEntry entry;
    entry.requestId = job->requestId;
    entry.key = job->key;
    entry.method = job->exchange->method();
    entry.target = job->exchange->target();
    entry.token = job->token;
    entry.service = m_options.service;
    entry.server = m_options.name;
    entry.boot = m_holder->boot();
    entry.start = now;
    job->journalNumber = m_journal.add(std::move(entry));
    job->stage = Stage::Receiving;
    m_running.emplace(job.get(), job);
    job->exchange->resume();
}

void BackendServer::data(const HttpExchangePtr &exchange, std::string_view part)
{
    const auto job = std::static_pointer_cast<Job>(exchange->context);
    if (job == nullptr) {
        HttpHandler::data(exchange, part);
        return;
    }
    if (job->stage == Stage::Receiving) {
        job->bodyHash.add(part);
    }
}

void BackendServer::complete(const HttpExchangePtr &exchange)
{
    const auto job = std::static_pointer_cast<Job>(exchange->context);
    if (job == nullptr) {
        systemCall(exchange);
        return;
    }
    if (job->stage == Stage::Refused) {
        exchange->respond(job->refusal);
        return;
    }
    if (job->stage == Stage::Receiving) {
        work(job);
    }
}

void BackendServer::work(const JobPtr &job)
{
    job->stage = Stage::Working;
    job->exchange->suspend();
    if (auto *entry = m_journal.at(job->journalNumber)) {
        entry->state = RunState::Running;
        entry->bytes = job->bodyHash.bytes();
        entry->bodyHash = job->bodyHash.digest();
    }
    if (hasDirective(job->test, "crash")) {
        m_loop.after(Duration::zero(), [this] { crash(milliseconds(m_options.crashDownMs)); });
        return;
    }
    job->workTimer = m_loop.after(serviceTime(*job), [this, job] { whenThawed([this, job] { finish(job); }); });
}

Duration BackendServer::serviceTime(const Job &job)
{
    const auto draw = std::exponential_distribution<>(1)(m_random);
    const auto factor = std::min(draw, maxServiceTimeFactor);
    const auto mean = directiveNumber(job.test, "time").value_or(m_options.serviceTimeMs);
    const std::chrono::duration<double, std::milli> time(mean * factor * m_faults.slowdown);
    return duration_cast<Duration>(time);
}

void BackendServer::finish(const JobPtr &job)
{
    if (job->stage != Stage::Working) {
        return;
    }
    release(job, RunState::Done);
    sendResult(job);
}

void BackendServer::onDeadline(const JobPtr &job)
{
    if (job->stage == Stage::Queued) {
        m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), job), m_queue.end());
        refuse(job, Reason::DeadlinePassed);
        return;
    }
    if (job->stage == Stage::Receiving) {
        release(job, RunState::Incomplete);
        job->exchange->abort();
        return;
    }
    if (job->stage == Stage::Working) {
        release(job, RunState::DeadlinePassed);
        job->exchange->respond(refusalResponse(Reason::DeadlinePassed, Outcome::Unknown));
    }
}

void BackendServer::release(const JobPtr &job, RunState state)
{
    const auto now = MonotonicClock::now();
    job->stage = Stage::Finished;
    m_loop.cancel(job->workTimer);
    m_loop.cancel(job->deadlineTimer);
    if (auto *entry = m_journal.at(job->journalNumber)) {
        entry->state = state;
        entry->end = now;
        entry->bytes = job->bodyHash.bytes();
        entry->bodyHash = job->bodyHash.digest();
    }
    m_running.erase(job.get());
    sendDeferred(m_holder->end(now, job->hash));
    // Deferred, so that a chain of refused queue entries does not nest.
    m_loop.after(Duration::zero(), [this] { whenThawed([this] { startNext(); }); });
}

void BackendServer::startNext()
{
    while (m_running.size() < m_options.slots && !m_queue.empty()) {
        const auto job = m_queue.front();
        m_queue.pop_front();
        start(job);
    }
}

void BackendServer::ended(const HttpExchangePtr &exchange, bool)
{
    const auto job = std::static_pointer_cast<Job>(exchange->context);
    exchange->context.reset();
    if (job == nullptr) {
        return;
    }
    if (job->stage == Stage::Queued) {
        m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), job), m_queue.end());
        m_loop.cancel(job->deadlineTimer);
        job->stage = Stage::Finished;
    }
    if (job->stage == Stage::Receiving) {
        release(job, RunState::Incomplete);
    }
}

void BackendServer::crash(Duration down)
{
    if (!m_server.isListening()) {
        return;
    }
    logEvent(Events::ServerCrashed, "{} boot {}, back in {} ms", m_options.name, m_holder->boot(),
             duration_cast<milliseconds>(down).count());
    for (const auto &job : m_queue) {
        job->stage = Stage::Finished;
        m_loop.cancel(job->deadlineTimer);
    }
    m_queue.clear();
    const auto running = m_running;
    for (const auto &[it, job] : running) {
        release(job, it->stage == Stage::Working ? RunState::Crashed : RunState::Incomplete);
    }
    m_revokes.clear();
    m_afterThaw.clear();
    m_frozen = false;
    m_server.close();
    m_loop.after(down, [this] { restart(); });
}

void BackendServer::restart()
{
    boot();
    tryOr(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(m_server.listen());
            logEvent(Events::ServerBooted, "{} boot {} on {}", m_options.name, m_holder->boot(), address());
            return 0;
        },
        [&](ErrorCode code, const std::string &detail) {
            logEvent(Events::ListenFailed, "{}: {}: {}", m_options.name, errorMessage(code), detail);
            return 1;
        });
}

void BackendServer::freeze(Duration length)
{
    if (m_frozen || !m_server.isListening()) {
        return;
    }
    m_frozen = true;
    ++m_freezes;
    m_server.freeze();
    logEvent(Events::ServerFrozen, "{}", m_options.name);
    m_loop.after(length, [this, bootCount = m_boots] {
        if (bootCount != m_boots || !m_frozen) {
            return;
        }
        m_frozen = false;
        logEvent(Events::ServerResumed, "{}", m_options.name);
        m_server.thaw();
        const auto bodies = std::move(m_afterThaw);
        m_afterThaw.clear();
        for (const auto &it : bodies) {
            it();
        }
    });
}

void BackendServer::whenThawed(std::function<void()> body)
{
    if (m_frozen) {
        m_afterThaw.push_back(std::move(body));
        return;
    }
    body();
}

}
