#include "objectstore/httpcall_p.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

#include "base/guard_p.h"
#include "base/sockets_p.h"

namespace Galenarock
{

namespace
{
/// An object has at most 1 MB, a page of a list about as much, and the list of 10,000 VMs about 4 MB.
constexpr std::size_t MaxResponseBytes = 8 << 20;
/// All heads of a response, interim ones and trailers included.
constexpr std::size_t MaxHeadBytes = 65'536;

long curlMilliseconds(Duration duration)
{
    return static_cast<long>(duration_cast<milliseconds>(duration).count());
}
}

const char *nameOf(CallKind kind)
{
    constexpr std::array names{"read", "write", "list", "watch", "vms", "heartbeat"};
    return names[static_cast<std::size_t>(kind)];
}

HttpCall::HttpCall(CallKind callKind, ObjectKey objectKey)
    : kind(callKind)
    , key(std::move(objectKey))
    , m_easy(curl_easy_init())
{
}

HttpCall::~HttpCall()
{
    if (m_memory) {
        m_memory->giveBack(m_takenBytes);
    }
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

void HttpCall::prepare(const StoreClientSettings &settings, StoreCall storeCall, Duration timeout)
{
    m_body = std::move(storeCall.body);
    curl_easy_setopt(m_easy, CURLOPT_URL, (settings.endpoint + storeCall.path).c_str());
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, curlMilliseconds(settings.connectTimeout));
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, curlMilliseconds(timeout));
    curl_easy_setopt(m_easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_easy, CURLOPT_SOCKOPTFUNCTION, detectSilence);
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &HttpCall::beforeSend);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &HttpCall::onData);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    m_eraHeader = settings.dialect.eraHeader;
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &HttpCall::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    if (storeCall.method != "GET") {
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, storeCall.method.c_str());
    }
    if (m_body.empty()) {
        return;
    }
    m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
    m_headers = curl_slist_append(m_headers, "Expect:");
    m_headers = curl_slist_append(m_headers, ("X-Team: " + settings.team).c_str());
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_body.data());
}

void HttpCall::setMemory(ResponseMemory &memory)
{
    m_memory = &memory;
}

void HttpCall::setResult(CURLcode result)
{
    // libcurl reports success when the connection closes within the head of the response.
    code = result == CURLE_OK && !m_head.isComplete() ? CURLE_PARTIAL_FILE : result;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
}

int HttpCall::beforeSend(void *self, char *, char *, int, int)
{
    auto &call = *static_cast<HttpCall *>(self);
    // libcurl sends a request again, even a PUT, when a reused connection closes before the response begins. The first
    // copy may have taken effect, so the second one is aborted and the outcome stays Unknown.
    if (call.isSent) {
        call.isRepeatPrevented = true;
        return CURL_PREREQFUNC_ABORT;
    }
    call.isSent = true;
    call.sentAt = MonotonicClock::now();
    return CURL_PREREQFUNC_OK;
}

std::size_t HttpCall::onData(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &call = *static_cast<HttpCall *>(self);
    const auto n = size * count;
    const bool isTooLong = call.response.size() + n > MaxResponseBytes;
    if (isTooLong || (call.m_memory && !call.m_memory->take(n))) {
        return 0;
    }
    call.m_takenBytes += n;
    const bool isTaken = runGuarded("response of the platform", [&] { call.response.append(data, n); });
    return isTaken ? n : 0;
}

std::size_t HttpCall::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &call = *static_cast<HttpCall *>(self);
    call.m_headBytes += size * count;
    if (call.m_headBytes > MaxHeadBytes) {
        return 0;
    }
    bool isTaken = false;
    runGuarded("response head of the platform", [&] { isTaken = call.takeHeadLine({data, size * count}); });
    return isTaken ? size * count : 0;
}

bool HttpCall::takeHeadLine(std::string_view line)
{
    if (m_head.addLine(line) == HeadProgress::Malformed) {
        return false;
    }
    if (m_head.isComplete() && !m_eraHeader.empty()) {
        const auto value = fieldOf(m_head.fields(), m_eraHeader);
        std::from_chars(value.data(), value.data() + value.size(), era);
    }
    return true;
}

std::unique_ptr<HttpCall> makeCall(const StoreClientSettings &settings, const StoreRequest &request)
{
    const auto &dialect = settings.dialect;
    if (const auto *list = std::get_if<ListObjectsRequest>(&request)) {
        auto call = std::make_unique<HttpCall>(CallKind::List, ObjectKey{list->kind, {}});
        call->prepare(settings, dialect.list(list->kind, {}), settings.callTimeout);
        return call;
    }
    if (const auto *write = std::get_if<WriteObjectAction>(&request)) {
        auto call = std::make_unique<HttpCall>(CallKind::Write, write->key);
        call->write = *write;
        call->prepare(settings, dialect.write(*write), settings.callTimeout);
        return call;
    }
    const auto &key = std::get<ReadObjectAction>(request).key;
    auto call = std::make_unique<HttpCall>(CallKind::Read, key);
    call->prepare(settings, dialect.read(key), settings.callTimeout);
    return call;
}

std::unique_ptr<HttpCall> makeWatchList(const StoreClientSettings &settings, const std::string &kind,
                                        const std::string &after, Duration timeout)
{
    auto call = std::make_unique<HttpCall>(CallKind::Watch, ObjectKey{kind, {}});
    call->isList = true;
    call->prepare(settings, settings.dialect.list(kind, after), timeout);
    return call;
}

std::unique_ptr<HttpCall> makeWatchPoll(const StoreClientSettings &settings, const std::string &kind,
                                        std::uint64_t revision, Duration wait)
{
    auto call = std::make_unique<HttpCall>(CallKind::Watch, ObjectKey{kind, {}});
    call->prepare(settings, settings.dialect.watch(kind, revision, wait), wait + settings.watchAnswerTime);
    return call;
}

std::unique_ptr<HttpCall> makeVmListCall(const StoreClientSettings &settings)
{
    auto call = std::make_unique<HttpCall>(CallKind::VmList, ObjectKey());
    call->prepare(settings, {"GET", "/v1/vms", {}}, settings.callTimeout);
    return call;
}

std::unique_ptr<HttpCall> makeHeartbeat(const StoreClientSettings &settings)
{
    auto call = std::make_unique<HttpCall>(CallKind::Heartbeat, ObjectKey());
    call->prepare(settings, settings.dialect.heartbeat(), settings.heartbeatTimeout);
    return call;
}

}
