#pragma once

#include <memory>
#include <string>

#include <curl/curl.h>

#include <galenarock/storeclient.h>

#include "base/responseheadreader_p.h"

namespace Galenarock
{

enum class CallKind : std::uint8_t
{
    Read,
    Write,
    List,
    Watch,
    VmList,
    Heartbeat,
};

const char *nameOf(CallKind kind);

/// Bytes that the responses of all calls of a client may take together, for as long as the calls exist.
class ResponseMemory
{
public:
    /// Returns false and takes nothing if `n` bytes are too many.
    bool take(std::size_t n)
    {
        if (m_used + n > MaxBytes) {
            return false;
        }
        m_used += n;
        return true;
    }
    void giveBack(std::size_t n)
    {
        m_used -= n;
    }

    static constexpr std::size_t MaxBytes = 16 << 20;

private:
    std::size_t m_used = 0;
};

/// One HTTP call on a libcurl easy handle. Not movable, because libcurl keeps pointers to it.
class HttpCall
{
public:
    HttpCall(CallKind kind, ObjectKey key);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Sets the URL, body, timeouts and callbacks of the handle.
    void prepare(const StoreClientSettings &settings, StoreCall storeCall, Duration timeout);
    /// The response counts in this memory, which outlives the call.
    void setMemory(ResponseMemory &memory);
    /// `code` as libcurl reports it; a response without the blank line that ends its head counts as failed.
    void setResult(CURLcode code);

    CURL *handle() const
    {
        return m_easy;
    }
    const CallKind kind;
    const ObjectKey key;
    /// Watches only: the call lists the kind instead of waiting for a change.
    bool isList = false;
    /// Watches only: the call continues a list or a watch, so its response means something only in the same era.
    bool continuesEarlierCall = false;
    /// Watches: revision from which the call continues.
    std::uint64_t fromRevision = 0;
    /// Writes only.
    WriteObjectAction write;
    /// Set when libcurl is about to send the request on an open connection.
    bool isSent = false;
    /// Set when libcurl tried to send the request again on a new connection and was stopped.
    bool isRepeatPrevented = false;
    Instant sentAt;
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string response;
    /// Era of the store that the response states; 0 when it states none.
    std::uint64_t era = 0;

    /// True when a response arrived whose status is neither 503 nor 429.
    bool isAnswered() const
    {
        return code == CURLE_OK && status != 503 && status != 429;
    }
    bool isOk() const
    {
        return code == CURLE_OK && (status == 200 || status == 201);
    }

private:
    static int beforeSend(void *self, char *, char *, int, int);
    static std::size_t onData(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    /// Returns false for a line that no response head may have.
    bool takeHeadLine(std::string_view line);

    CURL *m_easy;
    std::string m_eraHeader;
    ResponseHeadReader m_head;
    std::size_t m_headBytes = 0;
    ResponseMemory *m_memory = nullptr;
    std::size_t m_takenBytes = 0;
    curl_slist *m_headers = nullptr;
    std::string m_body;
};

std::unique_ptr<HttpCall> makeCall(const StoreClientSettings &settings, const StoreRequest &request);
/// Start of a watch: lists one page of the kind's objects, beginning after the name `after` (empty for the first
/// page). The response has the revision from which to poll.
std::unique_ptr<HttpCall> makeWatchList(const StoreClientSettings &settings, const std::string &kind,
                                        const std::string &after, Duration timeout);
/// Waits for changes of the kind after `revision`, at most for `wait`.
std::unique_ptr<HttpCall> makeWatchPoll(const StoreClientSettings &settings, const std::string &kind,
                                        std::uint64_t revision, Duration wait);
std::unique_ptr<HttpCall> makeVmListCall(const StoreClientSettings &settings);
std::unique_ptr<HttpCall> makeHeartbeat(const StoreClientSettings &settings);

}
