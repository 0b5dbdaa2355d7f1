#include "httpclient_p.h"

#include <algorithm>
#include <cctype>
#include <memory>

#include <curl/curl.h>
#include <fmt/format.h>

namespace Galenarock::Standin
{

namespace
{
std::size_t collectBody(char *data, std::size_t, std::size_t size, void *cls)
{
    static_cast<HttpReply *>(cls)->body.append(data, size);
    return size;
}

std::size_t collectHeader(char *data, std::size_t, std::size_t size, void *cls)
{
    std::string line(data, size);
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
        return size;
    }
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    const auto isEmpty = first == std::string::npos || last < first;
    static_cast<HttpReply *>(cls)->headers[name] = isEmpty ? std::string() : line.substr(first, last - first + 1);
    return size;
}

ErrorCode errorOf(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
        return ErrorCode::Unavailable;
    case CURLE_OPERATION_TIMEDOUT:
        return ErrorCode::Timeout;
    default:
        return ErrorCode::AnswerLost;
    }
}

void setOptions(CURL *easy, const HttpCall &call, curl_slist *headers, HttpReply &reply)
{
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collectBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, collectHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &reply);
    if (call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    if (call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
    }
}
}

Result<HttpReply> callHttp(const HttpCall &call)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    curl_slist *list = nullptr;
    for (const auto &it : call.headers) {
        list = curl_slist_append(list, it.c_str());
    }
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list, curl_slist_free_all);
    HttpReply reply;
    setOptions(easy.get(), call, list, reply);
    const auto code = curl_easy_perform(easy.get());
    if (code != CURLE_OK) {
        return fail(errorOf(code), fmt::format("{} {}: {}", call.method, call.url, curl_easy_strerror(code)));
    }
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<unsigned>(status);
    return reply;
}

}
