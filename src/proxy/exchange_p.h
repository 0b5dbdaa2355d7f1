#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <galenarock/base.h>

#include "bytebuffer_p.h"
#include "heldbytes_p.h"
#include "requestparser_p.h"

/// One request of a caller and the response to it.
namespace Galenarock
{

class CallerPipeline;

/// Maximum number of bytes that are buffered of each streamed request body and each streamed response body.
inline constexpr std::size_t StreamBufferBytes = 262'144;

/// A caller's request and the response to it. All methods and hooks run on the worker's thread.
class Exchange
{
public:
    Exchange(RequestHead head, Instant readAt);

    /// Path and query as received, without percent-decoding, such as `/vitrina/items?key=7`.
    const std::string &target() const
    {
        return m_head.target;
    }
    const std::string &method() const
    {
        return m_head.method;
    }
    /// Value of a request header; empty when absent.
    std::string_view header(std::string_view name) const
    {
        return m_head.header(name);
    }
    const std::vector<HeaderField> &headers() const
    {
        return m_head.headers;
    }
    /// When the head of the request was read.
    Instant readAt() const
    {
        return m_readAt;
    }
    /// Earlier requests of the connection had not been answered when this one was started.
    bool isReadAhead() const
    {
        return m_depth > 1;
    }
    /// Requests of the connection that had been started and not answered when this one was, itself included.
    std::size_t depth() const
    {
        return m_depth;
    }
    /// IPv4 address of the caller; empty when not available.
    const std::string &callerAddress() const
    {
        return m_callerAddress;
    }
    /// Length of the request body in bytes; empty for a chunked body, 0 when the request has no body.
    std::optional<std::uint64_t> contentLength() const
    {
        return m_head.bodyLength;
    }

    /// Received part of the request body that has not been consumed.
    ByteBuffer &requestBody()
    {
        return m_requestBody;
    }
    bool isRequestComplete() const
    {
        return m_isRequestComplete;
    }
    /// Whether the exchange has ended, after a complete response or because the caller disconnected.
    bool hasEnded() const
    {
        return m_pipeline == nullptr;
    }
    bool hasResponse() const
    {
        return m_hasResponse;
    }

    /// The caller waits for the answer until then; Instant::max() if not known.
    Instant deadline() const
    {
        return m_deadline;
    }
    void setDeadline(Instant deadline)
    {
        m_deadline = deadline;
    }

    /// Sends a complete response. Its length, its date and the state of the connection are added.
    void respond(unsigned status, std::vector<HeaderField> headers, std::string body);
    /// Starts a streamed response; `length` is empty when not known.
    void startResponse(unsigned status, std::vector<HeaderField> headers, std::optional<std::uint64_t> length);
    /// Whether a streamed response can take `n` more bytes now. If not, onResponseDrained is called when it may.
    bool hasRoom(std::size_t n) const;
    /// Appends to a streamed response. Returns false and appends nothing when there is no room for all `n` bytes.
    /// Discards the bytes and returns true when the exchange has ended.
    bool appendResponse(const char *bytes, std::size_t n);
    void finishResponse();
    /// Closes the connection before the end of a streamed response, so that the caller detects the incomplete body.
    void abortResponse();
    /// Closes the connection without a response, when the caller has disconnected or no correct response is possible.
    void drop();
    /// Socket of the connection; -1 when the exchange has ended.
    int socket() const;
    /// Resumes receiving a request body after requestBody() was full.
    void continueRequestBody();

    /// Bytes of the request body that are buffered elsewhere for this exchange.
    void setBufferedBytes(std::size_t n)
    {
        m_bufferedBytes = n;
    }
    /// Memory that the exchange takes, see CallerBudget.
    std::size_t callerBytes() const;

    /// Called when the exchange must end, because callers hold too many bytes or its body stalls. Null if it cannot be
    /// ended; it is answered, at the latest when the hook returns, if it can.
    std::function<void(std::string_view cause)> onGiveWay;
    /// Called when more of the request body has arrived, and at its end.
    std::function<void()> onBody;
    /// Called when the buffer of a streamed response has room again.
    std::function<void()> onResponseDrained;
    /// Called when the exchange ends; `complete` is false when the response was not sent to its end.
    std::function<void(bool complete)> onEnded;

private:
    friend class CallerPipeline;

    void changed();
    void end(bool complete);

    RequestHead m_head;
    Instant m_readAt;
    Instant m_deadline = Instant::max();
    std::string m_callerAddress;
    std::size_t m_headBytes = 0;
    std::size_t m_bufferedBytes = 0;
    /// Null after the end.
    CallerPipeline *m_pipeline = nullptr;
    std::size_t m_depth = 1;
    bool m_isRequestComplete = false;
    ByteBuffer m_requestBody{StreamBufferBytes};

    bool m_hasResponse = false;
    bool m_isStreaming = false;
    bool m_isResponseComplete = false;
    bool m_isAborted = false;
    bool m_isDropped = false;
    unsigned m_status = 0;
    std::vector<HeaderField> m_responseHeaders;
    std::optional<std::uint64_t> m_responseLength;
    std::string m_completeBody;
    ByteBuffer m_responseBody{StreamBufferBytes};
    /// Of m_completeBody or m_responseBody.
    HeldBytes m_held;
};

}
