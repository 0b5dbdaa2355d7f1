#include "platformserver_p.h"

#include <algorithm>

#include "events_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr std::string_view objectsPrefix = "/v1/objects/";
constexpr std::int64_t maxWatchMs = 120'000;
constexpr std::int64_t defaultWatchMs = 30'000;

HttpResponse errorResponse(unsigned status, std::string_view error, std::string_view detail = {})
{
    return jsonResponse(status, {{"error", error}, {"detail", detail}});
}

std::int64_t numberArgument(const HttpExchangePtr &exchange, const char *name, std::int64_t fallback)
{
    const auto text = exchange->argument(name);
    if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) {
        return fallback;
    }
    return std::stoll(text);
}

nlohmann::json toJson(const ObjectList &list)
{
    return {{"revision", list.revision}, {"items", list.items}};
}

bool isWriteBody(const nlohmann::json &json)
{
    return json.is_object() && json.contains("value") && json.contains("writer") && json.contains("expectedVersion")
        && json["expectedVersion"].is_number_unsigned();
}
}

PlatformServer::PlatformServer(EventLoop &loop, const PlatformFaults &faults)
    : m_loop(loop)
    , m_server(loop, *this, 16'000)
    , m_faults(faults)
{
    storeVms(nlohmann::json::array());
}

PlatformServer::~PlatformServer()
{
    // Ends the waiting watches while their list still exists.
    m_server.close();
}

Instant PlatformServer::before(std::int64_t ms) const
{
    return MonotonicClock::now() - milliseconds(ms);
}

void PlatformServer::complete(const HttpExchangePtr &exchange)
{
    if (exchange->path().compare(0, 9, "/control/") == 0) {
        controlCall(exchange);
        return;
    }
    if (!isOut(exchange)) {
        objectCall(exchange);
    }
}

void PlatformServer::ended(const HttpExchangePtr &exchange, bool)
{
    const auto it =
        std::find_if(m_watches.begin(), m_watches.end(), [&](const auto &it) { return it.exchange == exchange; });
    if (it == m_watches.end()) {
        return;
    }
    m_loop.cancel(it->timeout);
    m_watches.erase(it);
}

bool PlatformServer::isOut(const HttpExchangePtr &exchange)
{
    switch (m_faults.outage) {
    case PlatformOutage::None:
        return false;
    case PlatformOutage::Unavailable:
        reply(exchange, errorResponse(503, "unavailable"));
        return true;
    case PlatformOutage::Closes:
        exchange->abort();
        return true;
    case PlatformOutage::Hangs:
        exchange->suspend();
        m_hanging.push_back(exchange);
        return true;
    }
    return false;
}

void PlatformServer::objectCall(const HttpExchangePtr &exchange)
{
    const auto &path = exchange->path();
    if (path == "/v1/vms" && exchange->method() == "GET") {
        listVms(exchange);
        return;
    }
    if (path == "/v1/watch" && exchange->method() == "GET") {
        startWatch(exchange);
        return;
    }
    if (path.compare(0, objectsPrefix.size(), objectsPrefix) != 0) {
        reply(exchange, errorResponse(404, "no-such-call", path));
        return;
    }
    const auto rest = path.substr(objectsPrefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string::npos && exchange->method() == "GET") {
        listObjects(exchange, rest);
        return;
    }
    const ObjectKey key{rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1)};
    if (key.kind.empty() || key.name.empty()) {
        reply(exchange, errorResponse(404, "no-such-call", path));
        return;
    }
    if (exchange->method() == "GET") {
        readObject(exchange, key);
        return;
    }
    if (exchange->method() == "PUT") {
        writeObject(exchange, key);
        return;
    }
    reply(exchange, errorResponse(405, "method-not-allowed", exchange->method()));
}

bool PlatformServer::isAdmitted(const HttpExchangePtr &exchange, const char *call, const std::string &kind,
                                bool isWrite)
{
    const auto now = MonotonicClock::now();
    const auto admitted = isWrite
        ? m_writeCeiling.take(now, m_faults.writesPerSecond, 0)
        : m_readCeiling.take(now, m_faults.readsPerSecond, static_cast<double>(m_watches.size()));
    auto &count = m_calls[{call, kind}];
    if (admitted) {
        ++count.accepted;
        return true;
    }
    ++count.rateLimited;
    reply(exchange, errorResponse(429, "rate-limited"));
    return false;
}

void PlatformServer::readObject(const HttpExchangePtr &exchange, const ObjectKey &key)
{
    if (!isAdmitted(exchange, "read", key.kind, false)) {
        return;
    }
    const auto object = m_store.read(key, before(m_faults.staleReadMs));
    if (object.is_null()) {
        reply(exchange, errorResponse(404, "not-found", key.kind + "/" + key.name));
        return;
    }
    reply(exchange, jsonResponse(200, object));
}

void PlatformServer::listObjects(const HttpExchangePtr &exchange, const std::string &kind)
{
    if (isAdmitted(exchange, "list", kind, false)) {
        reply(exchange, jsonResponse(200, toJson(m_store.list(kind, 0, before(m_faults.staleReadMs)))));
    }
}

void PlatformServer::writeObject(const HttpExchangePtr &exchange, const ObjectKey &key)
{
    if (!isAdmitted(exchange, "write", key.kind, true)) {
        return;
    }
    if (exchange->body.size() >= maxCollectedBody) {
        reply(exchange, errorResponse(413, "too-large"));
        return;
    }
    auto json = nlohmann::json::parse(exchange->body, nullptr, false);
    if (!isWriteBody(json)) {
        reply(exchange, errorResponse(400, "malformed", "expectedVersion, writer and value are required"));
        return;
    }
    ObjectWrite write{key, json["expectedVersion"].get<std::uint64_t>(), std::move(json["writer"]),
                      std::move(json["value"]), exchange->header("X-Team")};
    if (m_faults.delayEffectMs == 0) {
        applyWrite(exchange, write);
        return;
    }
    exchange->suspend();
    m_loop.after(milliseconds(m_faults.delayEffectMs),
                 [this, exchange, write = std::move(write)] { applyWrite(exchange, write); });
}

void PlatformServer::applyWrite(const HttpExchangePtr &exchange, const ObjectWrite &write)
{
    using Status = ObjectWriteResult::Status;
    const auto result = m_store.write(MonotonicClock::now(), write);
    if (result.status == Status::Applied) {
        answerWatches();
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        exchange->abort();
        return;
    }
    switch (result.status) {
    case Status::Applied:
        reply(exchange, jsonResponse(200, {{"version", result.version}}));
        return;
    case Status::Conflict:
        reply(exchange, jsonResponse(409, {{"error", "conflict"}, {"current", result.current}}));
        return;
    case Status::WrongTeam:
        reply(exchange, errorResponse(403, "wrong-team", result.detail));
        return;
    case Status::TooLarge:
        reply(exchange, errorResponse(413, "too-large"));
        return;
    }
}

void PlatformServer::startWatch(const HttpExchangePtr &exchange)
{
    Watch watch;
    watch.exchange = exchange;
    watch.kind = exchange->argument("kind");
    watch.since = static_cast<std::uint64_t>(numberArgument(exchange, "since", 0));
    if (watch.kind.empty()) {
        reply(exchange, errorResponse(400, "malformed", "argument kind is required"));
        return;
    }
    if (!isAdmitted(exchange, "watch", watch.kind, false) || answerWatch(watch, false)) {
        return;
    }
    exchange->suspend();
    const auto wait = std::min(numberArgument(exchange, "timeoutMs", defaultWatchMs), maxWatchMs);
    const auto it = m_watches.insert(m_watches.end(), watch);
    it->timeout = m_loop.after(milliseconds(wait), [this, it] {
        const auto watch = *it;
        m_watches.erase(it);
        answerWatch(watch, true);
    });
}

bool PlatformServer::answerWatch(const Watch &watch, bool isFinal)
{
    const auto list = m_store.list(watch.kind, watch.since, before(m_faults.watchLagMs));
    if (list.items.empty() && !isFinal) {
        return false;
    }
    reply(watch.exchange, jsonResponse(200, toJson(list)));
    return true;
}

void PlatformServer::answerWatches()
{
    if (m_faults.watchLagMs > 0) {
        m_loop.after(milliseconds(m_faults.watchLagMs + 1), [this] { endWatches(); });
        return;
    }
    endWatches();
}

void PlatformServer::endWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const auto watch = *it;
        if (m_faults.outage != PlatformOutage::None) {
            m_loop.cancel(watch.timeout);
            it = m_watches.erase(it);
            isOut(watch.exchange);
            continue;
        }
        if (!answerWatch(watch, false)) {
            ++it;
            continue;
        }
        m_loop.cancel(watch.timeout);
        it = m_watches.erase(it);
    }
}

void PlatformServer::reply(const HttpExchangePtr &exchange, HttpResponse response)
{
    if (m_faults.latencyMs == 0) {
        exchange->respond(std::move(response));
        return;
    }
    exchange->suspend();
    m_loop.after(milliseconds(m_faults.latencyMs),
                 [exchange, response = std::move(response)] { exchange->respond(response); });
}

}
