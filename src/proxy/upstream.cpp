#include "upstream_p.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

#include <fmt/format.h>

#include <sys/epoll.h>
#include <unistd.h>

#include "base/guard_p.h"
#include "base/sockets_p.h"
#include "events_p.h"

namespace Galenarock
{

/// State of one request to one server.
class Attempt
{
public:
    CURL *handle = nullptr;
    curl_slist *headerList = nullptr;
    AttemptRequest request;
    AttemptHooks hooks;
    ResponseHeadReader head;
    unsigned sends = 0;
    bool headDelivered = false;
    std::size_t headBytes = 0;
    bool resendStopped = false;
    /// Why the chosen connection was closed instead of used; empty when it was used.
    std::string_view avoidedBecause;
    bool wasPaused = false;
    /// The socket that was opened for this attempt.
    curl_socket_t newSocket = CURL_SOCKET_BAD;
    /// The socket over which it was sent.
    curl_socket_t socket = CURL_SOCKET_BAD;
    Instant sentAt{};
    /// `timeout` of the response's Keep-Alive header; 0 when there is none.
    long advertisedIdleSeconds = 0;
    /// Bytes that readBody has passed to libcurl, with the framing of their chunks if they are sent in chunks.
    std::int64_t uploadBytes = 0;
    /// readBody has passed the whole body.
    bool isUploadRead = false;
    /// allowClosedWindow() has been called for its socket.
    bool isClosedWindowAllowed = false;
    /// When the attempt ends even if libcurl does not end it; Instant::max() for an attempt without a timeout.
    Instant expiresAt = Instant::max();
};

namespace
{
constexpr std::size_t MaxIdleHandles = 64;
/// Time after the timeout of an attempt until the client ends it itself. libcurl 7.88 sometimes forgets the timeout of
/// a transfer that it handles less than 1 ms before; if the transfer is paused then, libcurl never ends it.
constexpr Duration LostTimeoutGrace = milliseconds(10);
constexpr Duration SlowServerCheckInterval = milliseconds(500);
/// Time after the start of a request from which its connection is checked for a server that reads slowly.
constexpr Duration SlowServerCheckDelay = seconds(1);

/// Connections of this thread's clients.
thread_local OpenConnections openConnections;

/// `timeout` of a Keep-Alive field in seconds; 0 when there is none.
long advertisedIdle(std::string_view keepAlive)
{
    constexpr std::string_view parameter = "timeout=";
    const auto start = keepAlive.find(parameter);
    if (start == std::string_view::npos) {
        return 0;
    }
    return std::atol(std::string(keepAlive.substr(start + parameter.size())).c_str());
}

/// Returns false when the attempt must be aborted.
bool deliverHead(Attempt *attempt)
{
    attempt->headDelivered = true;
    attempt->advertisedIdleSeconds = advertisedIdle(fieldOf(attempt->head.fields(), "Keep-Alive"));
    if (auto *connection = openConnections.at(attempt->socket)) {
        ++connection->answers;
    }
    return attempt->hooks.onHead(attempt->head.status(), attempt->head.takeFields());
}

/// Returns what `body` returns, or `failure` when it throws: an exception that unwinds through libcurl leaves the
/// client unusable, since libcurl then takes itself to be inside the callback for good.
template<typename Value, typename Body> Value withoutExceptions(Value failure, const Body &body)
{
    Value value = failure;
    runGuarded("callback of an attempt", [&] { value = body(); });
    return value;
}

/// Returns false when the attempt must be aborted.
bool takeHeadLine(Attempt *attempt, std::string_view line)
{
    attempt->headBytes += line.size();
    if (attempt->headBytes > MaxResponseHeadBytes) {
        return false;
    }
    switch (attempt->head.addLine(line)) {
    case HeadProgress::Malformed:
        return false;
    case HeadProgress::Incomplete:
        return true;
    case HeadProgress::Complete:
        break;
    }
    const bool isTrailer = attempt->headDelivered;
    return isTrailer || deliverHead(attempt);
}

std::size_t headerCallback(char *bytes, std::size_t size, std::size_t n, void *userData)
{
    auto *attempt = static_cast<Attempt *>(userData);
    const bool isTaken = withoutExceptions(false, [&] { return takeHeadLine(attempt, {bytes, size * n}); });
    return isTaken ? size * n : 0;
}

std::size_t writeCallback(char *bytes, std::size_t size, std::size_t n, void *userData)
{
    auto *attempt = static_cast<Attempt *>(userData);
    if (!attempt->headDelivered) {
        return size * n + 1; // libcurl takes more bytes for the end of a head than ResponseHeadReader does
    }
    switch (withoutExceptions(DataResult::Abort, [&] { return attempt->hooks.onData(bytes, size * n); })) {
    case DataResult::Taken:
        return size * n;
    case DataResult::Pause:
        return CURL_WRITEFUNC_PAUSE;
    case DataResult::Abort:
        break;
    }
    return size * n + 1; // any other number makes libcurl end the transfer; 0 would not if it passed no bytes
}

void countUpload(Attempt &attempt, std::size_t taken)
{
    constexpr std::string_view lineEnds = "\r\n\r\n";
    const auto bodySize = attempt.request.bodySize;
    attempt.uploadBytes += static_cast<std::int64_t>(taken);
    if (bodySize < 0) {
        attempt.uploadBytes += static_cast<std::int64_t>(fmt::formatted_size("{:x}", taken) + lineEnds.size());
    }
    attempt.isUploadRead = bodySize < 0 ? taken == 0 : attempt.uploadBytes >= bodySize;
}

std::size_t readCallback(char *out, std::size_t size, std::size_t n, void *userData)
{
    auto *attempt = static_cast<Attempt *>(userData);
    constexpr std::size_t failure = CURL_READFUNC_ABORT;
    const auto taken = withoutExceptions(failure, [&] { return attempt->hooks.readBody(out, size * n); });
    if (taken <= size * n) {
        countUpload(*attempt, taken);
    }
    return taken;
}

/// Whether the whole request has been written to the connection.
bool isUploadSent(const Attempt &attempt)
{
    if (attempt.request.method == "HEAD") {
        return true;
    }
    curl_off_t written = 0;
    curl_easy_getinfo(attempt.handle, CURLINFO_SIZE_UPLOAD_T, &written);
    if (!attempt.hooks.readBody) {
        return written >= attempt.request.bodySize;
    }
    return attempt.isUploadRead && written >= attempt.uploadBytes;
}

bool isOnNewConnection(CURL *handle)
{
    long newConnections = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &newConnections);
    return newConnections > 0;
}

int noteSocket(void *userData, curl_socket_t fd, curlsocktype purpose)
{
    auto *attempt = static_cast<Attempt *>(userData);
    attempt->newSocket = fd;
    return attempt->request.discardsUnsent ? discardUnsent(nullptr, fd, purpose) : detectSilence(nullptr, fd, purpose);
}

int closeSocket(void *, curl_socket_t fd)
{
    openConnections.closed(fd);
    return close(fd);
}

/// Why a request must not go over the kept connection that was chosen; empty when it may.
std::string_view reasonToAvoid(const Attempt &attempt)
{
    if (attempt.socket < 0) {
        return "it is not known what came over it";
    }
    if (hasUnreadBytes(attempt.socket)) {
        return "unread bytes, or its end, arrived on it";
    }
    const auto *connection = openConnections.at(attempt.socket);
    if (connection && connection->excluded.has(attempt.request.id)) {
        return "the request was refused on it before, or has failed there";
    }
    return {};
}

int allowSend(Attempt *attempt, const Endpoints &ends)
{
    if (attempt->sends > 0) {
        attempt->resendStopped = true;
        return CURL_PREREQFUNC_ABORT;
    }
    const bool isNew = isOnNewConnection(attempt->handle);
    if (isNew) {
        openConnections.opened(attempt->newSocket, ends);
    }
    attempt->socket = isNew ? attempt->newSocket : openConnections.find(ends);
    attempt->avoidedBecause = isNew ? "" : reasonToAvoid(*attempt);
    if (!attempt->avoidedBecause.empty()) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (attempt->hooks.beforeSend && !attempt->hooks.beforeSend(isNew)) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++attempt->sends;
    attempt->sentAt = MonotonicClock::now();
    return CURL_PREREQFUNC_OK;
}

/// libcurl 7.88 automatically resends a request, even POST, when a reused connection closes before the first byte of
/// the response. This callback runs before each transmission and aborts the second one.
int prereqCallback(void *userData, char *serverIp, char *, int serverPort, int localPort)
{
    auto *attempt = static_cast<Attempt *>(userData);
    constexpr int failure = CURL_PREREQFUNC_ABORT;
    return withoutExceptions(failure, [&] { return allowSend(attempt, {serverIp, serverPort, localPort}); });
}

void setBodyOptions(CURL *handle, const Attempt &attempt)
{
    const auto &request = attempt.request;
    if (request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (attempt.hooks.readBody) {
        curl_easy_setopt(handle, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, readCallback);
        curl_easy_setopt(handle, CURLOPT_READDATA, &attempt);
        curl_easy_setopt(handle, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(request.bodySize));
    } else if (request.bodySize > 0 || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.bodySize));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body ? request.body : "");
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}
}

UpstreamClient::UpstreamClient(int epollFd, std::uint64_t tag)
    : m_epollFd(epollFd)
    , m_tag(tag)
    , m_multi(curl_multi_init())
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, socketCallback);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, timerCallback);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

UpstreamClient::~UpstreamClient()
{
    for (auto *it : m_idleHandles) {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(m_multi);
}

void UpstreamClient::setMaxConnections(long n)
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, n);
}

CURL *UpstreamClient::takeHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

Attempt *UpstreamClient::start(AttemptRequest request, AttemptHooks hooks)
{
    std::unique_ptr<Attempt> owned(new Attempt);
    auto *attempt = owned.get();
    attempt->request = std::move(request);
    attempt->hooks = std::move(hooks);
    attempt->handle = takeHandle();
    for (const auto &it : attempt->request.headerLines) {
        attempt->headerList = curl_slist_append(attempt->headerList, it.c_str());
    }
    CURL *handle = attempt->handle;
    curl_easy_setopt(handle, CURLOPT_URL, attempt->request.url.c_str());
    if (!attempt->request.target.empty()) {
        curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, attempt->request.target.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, attempt->headerList);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, attempt);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, headerCallback);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, attempt);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, writeCallback);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, attempt);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, prereqCallback);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, attempt);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(attempt->request.connectTimeoutMs));
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, noteSocket);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, attempt);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, idleLimit(attempt->request.url));
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, attempt->request.keepsConnection ? 0L : 1L);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, attempt->request.needsNewConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(attempt->request.timeoutMs));
    setBodyOptions(handle, *attempt);
    if (attempt->request.timeoutMs > 0) {
        attempt->expiresAt = MonotonicClock::now() + milliseconds(attempt->request.timeoutMs) + LostTimeoutGrace;
        m_expiring.emplace(attempt->expiresAt, attempt);
    }
    curl_multi_add_handle(m_multi, handle);
    return owned.release();
}

void UpstreamClient::release(Attempt *attempt)
{
    const std::unique_ptr<Attempt> owned(attempt);
    m_expiring.erase({attempt->expiresAt, attempt});
    if (attempt->isClosedWindowAllowed && openConnections.at(attempt->socket)) {
        allowClosedWindow(attempt->socket);
    }
    curl_multi_remove_handle(m_multi, attempt->handle);
    if (m_idleHandles.size() < MaxIdleHandles) {
        curl_easy_reset(attempt->handle);
        m_idleHandles.push_back(attempt->handle);
    } else {
        curl_easy_cleanup(attempt->handle);
    }
    curl_slist_free_all(attempt->headerList);
}

void UpstreamClient::cancel(Attempt *attempt)
{
    release(attempt);
}

bool UpstreamClient::isSent(const Attempt *attempt)
{
    return attempt->sends > 0;
}

bool UpstreamClient::isAwaitingAnswer(const Attempt *attempt)
{
    return isSent(attempt) && attempt->headBytes == 0 && isUploadSent(*attempt);
}

AttemptConnection UpstreamClient::connectionOf(const Attempt *attempt)
{
    const auto *connection = openConnections.at(attempt->socket);
    if (!connection) {
        return {};
    }
    const auto earlier = connection->answers - (attempt->headDelivered ? 1 : 0);
    return {connection->ends, isOnNewConnection(attempt->handle), earlier, MonotonicClock::now() - attempt->sentAt};
}

void UpstreamClient::closeAfterResponse(Attempt *attempt)
{
    curl_easy_setopt(attempt->handle, CURLOPT_FORBID_REUSE, 1L);
}

void UpstreamClient::keepFromConnection(Attempt *attempt)
{
    auto *connection = openConnections.at(attempt->socket);
    if (!connection) {
        return;
    }
    connection->excluded.add(attempt->request.id);
    if (connection->excluded.isFull()) {
        closeAfterResponse(attempt);
    }
}

void UpstreamClient::resume(Attempt *attempt)
{
    curl_easy_pause(attempt->handle, CURLPAUSE_CONT);
}

void UpstreamClient::handleSocket(int fd, std::uint32_t epollEvents)
{
    int mask = 0;
    mask |= (epollEvents & EPOLLIN) ? CURL_CSELECT_IN : 0;
    mask |= (epollEvents & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
    mask |= (epollEvents & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
    int running = 0;
    curl_multi_socket_action(m_multi, fd, mask, &running);
    finishAttempts();
}

void UpstreamClient::run(Instant now)
{
    int running = 0;
    if (m_timerSet && now >= m_timerAt) {
        m_timerSet = false;
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    finishAttempts();
    finishExpired(now);
    allowSlowServers(now);
}

void UpstreamClient::allowSlowServers(Instant now)
{
    if (now < m_nextSlowServerCheck) {
        return;
    }
    m_nextSlowServerCheck = now + SlowServerCheckInterval;
    for (const auto &[expiresAt, it] : m_expiring) {
        const bool isDue = isSent(it) && now - it->sentAt >= SlowServerCheckDelay;
        if (!isDue || it->request.discardsUnsent || !openConnections.at(it->socket)) {
            continue;
        }
        it->isClosedWindowAllowed = true;
        allowClosedWindow(it->socket);
    }
}

int UpstreamClient::timeoutMs(Instant now) const
{
    auto next = m_timerSet ? m_timerAt : Instant::max();
    if (!m_expiring.empty()) {
        next = std::min(next, m_expiring.begin()->first);
    }
    if (next == Instant::max()) {
        return -1;
    }
    const auto left = duration_cast<milliseconds>(next - now).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

namespace
{
/// libcurl reports success when the connection closes within the head of the response.
std::string errorText(CURLcode code, bool isComplete, const Attempt &attempt)
{
    if (attempt.headBytes > MaxResponseHeadBytes) {
        return "the heads of the response are too long";
    }
    if (!attempt.head.defect().empty()) {
        return fmt::format("malformed response: {}", attempt.head.defect());
    }
    if (code != CURLE_OK) {
        return curl_easy_strerror(code);
    }
    if (isComplete) {
        return "";
    }
    return attempt.headDelivered ? "connection closed within the request, in a response without a length"
                                 : "connection closed within the head of the response";
}

/// Whether the end of the connection is all that ends the response, and came before the whole request was written. Such
/// a response may be a part: a server that closes with unread bytes resets the connection, and libcurl takes that for
/// the end of the response if it reads the end before it writes.
bool isEndUncertain(const Attempt &attempt)
{
    const bool hasBody = attempt.request.method != "HEAD" && !attempt.head.hasFraming();
    return hasBody && !isUploadSent(attempt);
}

/// `http://ip:port` of a URL.
std::string originOf(const std::string &url)
{
    const auto path = url.find('/', url.find("//") + 2);
    return url.substr(0, path);
}
}

long UpstreamClient::idleLimit(const std::string &url) const
{
    const auto found = m_advertisedIdleSeconds.find(originOf(url));
    return found == m_advertisedIdleSeconds.end() ? m_idleLimitSeconds : found->second;
}

/// Stores a limit 1 s below the advertised timeout, since the server could otherwise close the connection while a
/// request is on its way.
void UpstreamClient::updateIdleLimit(const Attempt &attempt)
{
    if (attempt.advertisedIdleSeconds > 0) {
        m_advertisedIdleSeconds[originOf(attempt.request.url)] = std::max(1L, attempt.advertisedIdleSeconds - 1);
    }
}

void UpstreamClient::restart(Attempt *attempt)
{
    logEvent(Events::ConnectionUnclean, "closed a kept connection to {}: {}", originOf(attempt->request.url),
             attempt->avoidedBecause);
    attempt->avoidedBecause = {};
    curl_multi_remove_handle(m_multi, attempt->handle);
    curl_easy_setopt(attempt->handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(m_multi, attempt->handle);
}

void UpstreamClient::finishAttempts()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        Attempt *attempt = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &attempt);
        const CURLcode code = message->data.result;
        if (!attempt->avoidedBecause.empty()) {
            restart(attempt);
            continue;
        }
        finish(attempt, code);
    }
}

void UpstreamClient::finish(Attempt *attempt, CURLcode code)
{
    AttemptResult result;
    result.sent = attempt->sends > 0;
    result.complete = code == CURLE_OK && attempt->headDelivered && !isEndUncertain(*attempt);
    result.timedOut = code == CURLE_OPERATION_TIMEDOUT;
    result.resendStopped = attempt->resendStopped;
    result.isNewConnection = isOnNewConnection(attempt->handle);
    result.status = attempt->head.status();
    result.error = errorText(code, result.complete, *attempt);
    updateIdleLimit(*attempt);
    const auto onDone = std::move(attempt->hooks.onDone);
    release(attempt);
    onDone(result);
}

void UpstreamClient::finishExpired(Instant now)
{
    while (!m_expiring.empty() && m_expiring.begin()->first <= now) {
        finish(m_expiring.begin()->second, CURLE_OPERATION_TIMEDOUT);
    }
}

int UpstreamClient::socketCallback(CURL *, curl_socket_t fd, int what, void *self, void *socketData)
{
    auto *client = static_cast<UpstreamClient *>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(client->m_epollFd, EPOLL_CTL_DEL, fd, nullptr);
        curl_multi_assign(client->m_multi, fd, nullptr);
        return 0;
    }
    epoll_event event{};
    event.events |= (what & CURL_POLL_IN) ? static_cast<std::uint32_t>(EPOLLIN) : 0U;
    event.events |= (what & CURL_POLL_OUT) ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    event.data.u64 = client->m_tag | static_cast<std::uint32_t>(fd);
    if (epoll_ctl(client->m_epollFd, socketData ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) != 0 && errno == EEXIST) {
        epoll_ctl(client->m_epollFd, EPOLL_CTL_MOD, fd, &event);
    }
    curl_multi_assign(client->m_multi, fd, client);
    return 0;
}

int UpstreamClient::timerCallback(CURLM *, long timeoutMs, void *self)
{
    auto *client = static_cast<UpstreamClient *>(self);
    client->m_timerSet = timeoutMs >= 0;
    client->m_timerAt = MonotonicClock::now() + milliseconds(std::max(timeoutMs, 0L));
    return 0;
}

}
