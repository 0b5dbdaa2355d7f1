#include "platform/httpcall_p.h"

#include <array>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
/// An object is at most 1 MB; the list of 10,000 daemons and their servers takes about 4 MB.
constexpr std::size_t maxResponseBytes = 16 << 20;

/// Percent-encoded path segment.
std::string escapeSegment(const std::string &text)
{
    char *escaped = curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
    const std::string result = escaped == nullptr ? std::string() : escaped;
    curl_free(escaped);
    return result;
}

long milliseconds32(Duration duration)
{
    return static_cast<long>(duration_cast<milliseconds>(duration).count());
}
}

const char *nameOf(CallKind kind)
{
    constexpr std::array names{"read", "write", "list", "watch", "vms"};
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
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

void HttpCall::prepare(const PlatformClientSettings &settings, const std::string &path, std::string body,
                       Duration timeout)
{
    m_body = std::move(body);
    curl_easy_setopt(m_easy, CURLOPT_URL, (settings.endpoint + path).c_str());
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds32(settings.connectTimeout));
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, milliseconds32(timeout));
    curl_easy_setopt(m_easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &HttpCall::beforeSend);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &HttpCall::onData);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    if (m_body.empty()) {
        return;
    }
    m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
    m_headers = curl_slist_append(m_headers, "Expect:");
    m_headers = curl_slist_append(m_headers, ("X-Team: " + settings.team).c_str());
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_body.data());
}

void HttpCall::setResult(CURLcode result)
{
    code = result;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
}

int HttpCall::beforeSend(void *self, char *, char *, int, int)
{
    auto &call = *static_cast<HttpCall *>(self);
    // libcurl repeats a request, also a PUT, when a reused connection closes before the response begins. The first
    // copy may have taken effect, so a second one is refused and the outcome stays Unknown.
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
    if (call.response.size() + size * count > maxResponseBytes) {
        return 0;
    }
    call.response.append(data, size * count);
    return size * count;
}

std::unique_ptr<HttpCall> makeCall(const PlatformClientSettings &settings, const PlatformRequest &request)
{
    if (const auto *list = std::get_if<ListObjectsRequest>(&request)) {
        auto call = std::make_unique<HttpCall>(CallKind::List, ObjectKey{list->kind, {}});
        call->prepare(settings, "/v1/objects/" + escapeSegment(list->kind), {}, settings.callTimeout);
        return call;
    }
    const auto *write = std::get_if<WriteObjectAction>(&request);
    const auto &key = write != nullptr ? write->key : std::get<ReadObjectAction>(request).key;
    auto call = std::make_unique<HttpCall>(write != nullptr ? CallKind::Write : CallKind::Read, key);
    std::string body;
    if (write != nullptr) {
        call->write = *write;
        const nlohmann::json json{{"expectedVersion", write->expectedVersion},
                                  {"writer", std::to_string(write->writer)},
                                  {"value", write->value}};
        body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    const auto path = fmt::format("/v1/objects/{}/{}", escapeSegment(key.kind), escapeSegment(key.name));
    call->prepare(settings, path, std::move(body), settings.callTimeout);
    return call;
}

std::unique_ptr<HttpCall> makeWatchList(const PlatformClientSettings &settings, const std::string &kind)
{
    auto call = std::make_unique<HttpCall>(CallKind::Watch, ObjectKey{kind, {}});
    call->prepare(settings, "/v1/objects/" + escapeSegment(kind), {}, settings.callTimeout);
    return call;
}

std::unique_ptr<HttpCall> makeWatchPoll(const PlatformClientSettings &settings, const std::string &kind,
                                        std::uint64_t revision)
{
    auto call = std::make_unique<HttpCall>(CallKind::Watch, ObjectKey{kind, {}});
    const auto path = fmt::format("/v1/watch?kind={}&since={}&timeoutMs={}", escapeSegment(kind), revision,
                                  milliseconds32(settings.watchTimeout));
    call->prepare(settings, path, {}, settings.watchTimeout + settings.callTimeout);
    return call;
}

std::unique_ptr<HttpCall> makeVmListCall(const PlatformClientSettings &settings)
{
    auto call = std::make_unique<HttpCall>(CallKind::VmList, ObjectKey());
    call->prepare(settings, "/v1/vms", {}, settings.callTimeout);
    return call;
}

}
