#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

#include "bodyhash_p.h"
#include "eventloop_p.h"
#include "requestrecord_p.h"

namespace Galenarock::Standin
{

/// One HTTP request that Transfers sends. The body is generated while it is sent.
struct TransferRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    /// Seed of the body, see fillBody().
    std::uint64_t number = 0;
    std::uint64_t bodyBytes = 0;
    /// Most bytes that are handed over at once.
    std::size_t chunkBytes = 16'384;
    /// Sends the body chunked, without Content-Length.
    bool isChunked = false;
    milliseconds timeout = seconds(10);
};

struct TransferResult
{
    ReceivedResponse response;
    std::string bodyDigest;
    /// Connection refused: another entry may be tried, nothing was sent.
    bool isRefused = false;
};

/// Concurrent HTTP requests over libcurl's multi interface on an EventLoop. Never sends a request twice by itself.
class Transfers
{
public:
    using OnDone = std::function<void(TransferResult)>;

    Transfers(EventLoop &loop, long maxConnections);
    ~Transfers();
    Transfers(const Transfers &) = delete;
    Transfers &operator=(const Transfers &) = delete;

    void start(TransferRequest request, OnDone onDone);

private:
    struct Transfer
    {
        CURL *easy = nullptr;
        curl_slist *headers = nullptr;
        TransferRequest request;
        OnDone onDone;
        TransferResult result;
        BodyHash bodyHash;
        unsigned sends = 0;
    };

    static std::size_t onBody(char *data, std::size_t, std::size_t size, void *cls);
    static std::size_t onHeader(char *data, std::size_t, std::size_t size, void *cls);
    static std::size_t onRead(char *buf, std::size_t, std::size_t size, void *cls);
    static int onPreRequest(void *cls, char *, char *, int, int);
    static int onSocket(CURL *, curl_socket_t fd, int what, void *cls, void *);
    static int onTimer(CURLM *, long timeoutMs, void *cls);

    void setOptions(Transfer &transfer);
    void action(curl_socket_t fd);
    void finishDone();
    void finish(CURL *easy, CURLcode code);

    EventLoop &m_loop;
    CURLM *m_multi;
    TimerId m_timer = 0;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> m_transfers;
    std::vector<CURL *> m_idle;
};

}
