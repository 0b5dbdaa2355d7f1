#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "exchange_p.h"
#include "requestparser_p.h"

/// The requests of one caller's connection, in their order. Does no I/O.
namespace Galenarock
{

/// Bounds for the requests of one connection that have not been answered. Beyond them the connection is not read, so
/// that the caller waits.
struct PipelineLimits
{
    /// Requests, the one that is answered next included.
    std::size_t requests = 8;
    /// Response bytes that wait for the responses before them.
    std::size_t heldBytes = 262'144;
    /// Bytes of one request head.
    std::size_t headBytes = 8'192;
    /// Request body bytes that are read and discarded after an early response, so that the connection stays usable.
    std::size_t discardedBytes = 1'048'576;

    friend bool operator==(const PipelineLimits &a, const PipelineLimits &b)
    {
        return a.requests == b.requests && a.heldBytes == b.heldBytes && a.headBytes == b.headBytes
            && a.discardedBytes == b.discardedBytes;
    }
};

struct PipelineHooks
{
    /// A request may start; called in the order of the requests.
    std::function<void(const std::shared_ptr<Exchange> &)> onRequest;
    /// Whether the request may run beside the ones before it on its connection: it is idempotent, so that the caller
    /// may send it again when a response before it closes the connection.
    std::function<bool(const Exchange &)> mayRunAhead;
    /// The daemon is stopping: the last response of each connection closes it.
    std::function<bool()> isStopping;
    /// A request could not be read.
    std::function<void(std::string_view)> onMalformed;
    /// pump() is needed.
    std::function<void()> onChanged;
    /// The connection's socket, for Exchange::socket().
    std::function<int()> socket;
    /// Whether callers hold too many bytes, see CallerBudget. May be null.
    std::function<bool()> isMemoryShort;
};

/// Reads the requests of a connection, also before the earlier ones have been answered, and puts the responses in the
/// order of the requests, however they become ready.
///
/// Idempotent requests run side by side. Any other request starts when all before it have been answered, and those
/// behind it wait for its response. A response that closes the connection ends the requests behind it: the caller sends
/// them again, of whatever kind they are, so none of these may have been started unless it is idempotent.
///
/// Example: `pipeline.receive(now, bytes); ... pipeline.pump(now); send(pipeline.output());`
class CallerPipeline
{
public:
    CallerPipeline(const PipelineLimits &limits, PipelineHooks hooks, std::string callerAddress);
    /// Ends all exchanges, as disconnect().
    ~CallerPipeline();
    CallerPipeline(const CallerPipeline &) = delete;
    CallerPipeline &operator=(const CallerPipeline &) = delete;

    /// Takes bytes from the caller. Bytes beyond the bounds are kept and read later.
    void receive(Instant now, std::string_view bytes);
    /// Whether more bytes are wanted from the caller now.
    bool wantsInput() const;
    /// Moves responses to output() as their turn comes, and reads further requests.
    void pump(Instant now);
    /// Bytes for the caller; the owner of the pipeline removes what it has sent.
    std::string &output()
    {
        return m_output;
    }
    const std::string &output() const
    {
        return m_output;
    }
    /// No request is being read or answered.
    bool isIdle() const
    {
        return m_entries.empty() && !m_held && !m_receiving && m_input.empty();
    }
    /// The connection is to be closed once output() has been sent.
    bool isClosing() const
    {
        return m_isClosing;
    }
    /// The end of the connection must not look like the end of a response: it is to be reset.
    bool needsReset() const
    {
        return m_needsReset;
    }
    /// The caller has left, or the connection was lost: ends all exchanges.
    void disconnect();

    /// Requests that were started and not answered.
    std::size_t depth() const
    {
        return m_entries.size();
    }

    /// Latest deadline of the requests that were started on this connection, answered ones included.
    Instant lastDeadline() const;

    /// Memory that the connection takes, see CallerBudget.
    std::size_t callerBytes() const;
    /// Whether giveWay() has something to end.
    bool canGiveWay() const;
    /// Ends what has no answer: requests are refused, and the connection closes behind the answers.
    void giveWay(std::string_view cause);
    /// A request has been started and its caller still has to send a part of its body.
    bool isWaitingForBody() const
    {
        return m_receiving && !m_receiving->hasEnded() && !m_receiving->hasResponse() && wantsInput();
    }

private:
    friend class Exchange;

    // reading
    /// Returns whether a request was started or refused.
    bool readRequests(Instant now);
    bool readHead(Instant now);
    bool readBody(Instant now);
    bool startHeld();
    bool mayReadHead() const;
    void finishRequest();
    void discardBody(std::size_t bytes);
    void refuseUnreadable(Instant now);

    // writing
    /// Returns whether the request at the front has been answered.
    bool answerFront();
    void writeInterim(const Exchange &front);
    void writeHead(const Exchange &front);
    /// Returns whether the body has been written to its end.
    bool writeBody(Exchange &front);
    bool writeStreamedBody(Exchange &front);
    bool closesConnection(const Exchange &front) const;
    void finishFront();
    std::size_t heldBytes() const;
    bool isMemoryShort() const
    {
        return m_hooks.isMemoryShort && m_hooks.isMemoryShort();
    }
    /// Whether a streamed response may buffer `n` more bytes. While memory is short, only the one at the front may, one
    /// piece at a time whenever its caller has taken the one before.
    bool mayHold(const Exchange &exchange, std::size_t n) const;

    /// Ends the connection and all exchanges.
    void close();
    void changed() const
    {
        m_hooks.onChanged();
    }
    int socket() const
    {
        return m_hooks.socket();
    }

    const PipelineLimits m_limits;
    const PipelineHooks m_hooks;
    const std::string m_callerAddress;
    RequestParser m_parser;
    /// Bytes that have not been parsed.
    std::string m_input;
    std::string m_output;
    /// Started requests that have not been answered, oldest first.
    std::deque<std::shared_ptr<Exchange>> m_entries;
    /// A request whose head has been read and that may not start yet.
    std::shared_ptr<Exchange> m_held;
    /// The request whose body is being read; it may have been answered already.
    std::shared_ptr<Exchange> m_receiving;
    /// Bytes of its body that were not taken.
    std::size_t m_discardedBytes = 0;

    // the response at the front
    bool m_isInterimWritten = false;
    bool m_isHeadWritten = false;
    bool m_isChunked = false;
    bool m_closesAfterFront = false;
    std::uint64_t m_bodyBytesWritten = 0;

    /// Latest deadline of the requests that have been answered.
    Instant m_answeredDeadline{};

    bool m_isClosing = false;
    bool m_needsReset = false;
};

}
