#include "http_p.h"

#include <memory>

#include <curl/curl.h>
#include <fmt/format.h>

namespace Galenarock::Ctl
{

namespace
{
constexpr long connectTimeoutMs = 2'000;
/// Longer than the slowest write for which the platform still sends a response.
constexpr long callTimeoutMs = 10'000;
/// Bounds the memory for a response; well above the platform's limit of 1 MB for a value.
constexpr std::size_t maxResponseBytes = 64u << 20;

struct CurlDeleter
{
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    auto *text = static_cast<std::string *>(body);
    if (text->size() + size * count > maxResponseBytes) {
        return 0;
    }
    text->append(data, size * count);
    return size * count;
}

std::unique_ptr<curl_slist, CurlDeleter> headerList(const HttpRequest &request)
{
    curl_slist *list = curl_slist_append(nullptr, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    if (!request.team.empty()) {
        list = curl_slist_append(list, ("X-Team: " + request.team).c_str());
    }
    return std::unique_ptr<curl_slist, CurlDeleter>(list);
}

bool isFailureBeforeSending(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT || code == CURLE_COULDNT_RESOLVE_HOST;
}
}

HttpReply callWithCurl(const HttpRequest &request)
{
    const std::unique_ptr<CURL, CurlDeleter> handle(curl_easy_init());
    HttpReply reply;
    if (!handle) {
        return {0, {}, "libcurl could not create a handle", false};
    }
    const auto headers = headerList(request);
    const auto url = fmt::format("http://{}{}", toString(request.endpoint), request.target);
    auto *curl = handle.get();
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    // Addresses are IP:port and are called directly, whatever proxy the environment variables name.
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, callTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
    if (!request.body.empty()) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    const auto code = curl_easy_perform(curl);
    if (code != CURLE_OK) {
        return {0,
                {},
                fmt::format("{}: {}", toString(request.endpoint), curl_easy_strerror(code)),
                !isFailureBeforeSending(code)};
    }
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
    return reply;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        encoded += unreserved.find(c) != std::string_view::npos ? std::string(1, c)
                                                                : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

}
