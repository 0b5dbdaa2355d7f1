#include "transfers_p.h"

#include <algorithm>

#include <strings.h>

#include "workload_p.h"

namespace Galenarock::Standin
{

namespace
{
/// A larger response is cut off and judged as broken; it bounds the memory of one transfer.
constexpr std::size_t maxResponseBytes = 64 << 20;

/// Value of the header `name` in `line`; false when the line is another header.
bool takeHeader(std::string_view line, std::string_view name, std::string &value)
{
    if (line.size() <= name.size() || line[name.size()] != ':'
        || strncasecmp(line.data(), name.data(), name.size()) != 0) {
        return false;
    }
    line.remove_prefix(name.size() + 1);
    const auto first = std::min(line.find_first_not_of(" \t"), line.size());
    const auto last = line.find_last_not_of(" \t\r\n");
    value = last == std::string_view::npos || last < first ? std::string() : line.substr(first, last - first + 1);
    return true;
}
}

Transfers::Transfers(EventLoop &loop, long maxConnections)
    : m_loop(loop)
    , m_multi(curl_multi_init())
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnections);
}

Transfers::~Transfers()
{
    for (const auto &[easy, transfer] : m_transfers) {
        curl_multi_remove_handle(m_multi, easy);
        curl_slist_free_all(transfer->headers);
        curl_easy_cleanup(easy);
    }
    for (auto *it : m_idle) {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(m_multi);
    m_loop.cancel(m_timer);
}

std::size_t Transfers::onBody(char *data, std::size_t, std::size_t size, void *cls)
{
    auto &body = static_cast<Transfer *>(cls)->result.response.body;
    if (body.size() + size > maxResponseBytes) {
        return 0;
    }
    body.append(data, size);
    return size;
}

std::size_t Transfers::onHeader(char *data, std::size_t, std::size_t size, void *cls)
{
    auto &response = static_cast<Transfer *>(cls)->result.response;
    const std::string_view line(data, size);
    if (!takeHeader(line, "Galenarock-Outcome", response.outcome)) {
        takeHeader(line, "Galenarock-Reason", response.reason);
    }
    return size;
}

std::size_t Transfers::onRead(char *buf, std::size_t, std::size_t size, void *cls)
{
    auto &transfer = *static_cast<Transfer *>(cls);
    const auto left = transfer.request.bodyBytes - transfer.bodyHash.bytes();
    const auto n = std::min<std::uint64_t>({left, size, transfer.request.chunkBytes});
    fillBody(transfer.request.number, transfer.bodyHash.bytes(), buf, n);
    transfer.bodyHash.add({buf, n});
    return n;
}

int Transfers::onPreRequest(void *cls, char *, char *, int, int)
{
    // libcurl 7.88 sends again by itself when a reused connection closes before the response, orders included.
    return static_cast<Transfer *>(cls)->sends++ == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

int Transfers::onSocket(CURL *, curl_socket_t fd, int what, void *cls, void *)
{
    auto &self = *static_cast<Transfers *>(cls);
    if (what == CURL_POLL_REMOVE) {
        self.m_loop.unwatch(fd);
        return 0;
    }
    self.m_loop.watch(
        fd, [&self, fd] { self.action(fd); }, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
    return 0;
}

int Transfers::onTimer(CURLM *, long timeoutMs, void *cls)
{
    auto &self = *static_cast<Transfers *>(cls);
    self.m_loop.cancel(self.m_timer);
    if (timeoutMs >= 0) {
        self.m_timer = self.m_loop.after(milliseconds(timeoutMs), [&self] { self.action(CURL_SOCKET_TIMEOUT); });
    }
    return 0;
}

void Transfers::setOptions(Transfer &transfer)
{
    auto *easy = transfer.easy;
    const auto &request = transfer.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onPreRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    if (request.bodyBytes > 0) {
        const auto size = request.isChunked ? curl_off_t(-1) : static_cast<curl_off_t>(request.bodyBytes);
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, size);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, onRead);
        curl_easy_setopt(easy, CURLOPT_READDATA, &transfer);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void Transfers::start(TransferRequest request, OnDone onDone)
{
    auto transfer = std::make_unique<Transfer>();
    if (m_idle.empty()) {
        m_idle.push_back(curl_easy_init());
    }
    auto *easy = m_idle.back();
    m_idle.pop_back();
    transfer->easy = easy;
    transfer->request = std::move(request);
    transfer->onDone = std::move(onDone);
    for (const auto &it : transfer->request.headers) {
        transfer->headers = curl_slist_append(transfer->headers, it.c_str());
    }
    setOptions(*transfer);
    m_transfers.emplace(easy, std::move(transfer));
    curl_multi_add_handle(m_multi, easy);
}

void Transfers::action(curl_socket_t fd)
{
    int running = 0;
    curl_multi_socket_action(m_multi, fd, 0, &running);
    finishDone();
}

void Transfers::finishDone()
{
    int left = 0;
    while (const auto *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
        }
    }
}

void Transfers::finish(CURL *easy, CURLcode code)
{
    const auto it = m_transfers.find(easy);
    const auto transfer = std::move(it->second);
    m_transfers.erase(it);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_multi, easy);
    curl_easy_reset(easy);
    m_idle.push_back(easy);
    curl_slist_free_all(transfer->headers);
    auto &result = transfer->result;
    result.isRefused = code == CURLE_COULDNT_CONNECT;
    result.bodyDigest = transfer->bodyHash.digest();
    result.response.isComplete = code == CURLE_OK;
    result.response.wasSent = transfer->sends > 0;
    result.response.status = static_cast<unsigned>(status);
    if (!result.response.isComplete) {
        result.response.reason = curl_easy_strerror(code);
    }
    transfer->onDone(std::move(result));
}

}
