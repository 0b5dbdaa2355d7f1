#include "exchange_p.h"

#include <utility>

#include "callerpipeline_p.h"

namespace Galenarock
{

Exchange::Exchange(RequestHead head, Instant readAt)
    : m_head(std::move(head))
    , m_readAt(readAt)
    , m_headBytes(m_head.target.size())
{
    for (const auto &it : m_head.headers) {
        m_headBytes += it.name.size() + it.value.size();
    }
}

std::size_t Exchange::callerBytes() const
{
    // The header fields are copied for the server.
    return ExchangeCostBytes + 2 * m_headBytes + m_bufferedBytes + m_requestBody.capacity() + m_completeBody.capacity()
        + m_responseBody.capacity();
}

void Exchange::respond(unsigned status, std::vector<HeaderField> headers, std::string body)
{
    m_status = status;
    m_responseHeaders = std::move(headers);
    m_completeBody = std::move(body);
    m_held.set(m_completeBody.size());
    m_isResponseComplete = true;
    m_hasResponse = true;
    changed();
}

void Exchange::startResponse(unsigned status, std::vector<HeaderField> headers, std::optional<std::uint64_t> length)
{
    m_status = status;
    m_responseHeaders = std::move(headers);
    m_responseLength = length;
    m_isStreaming = true;
    m_hasResponse = true;
    changed();
}

bool Exchange::hasRoom(std::size_t n) const
{
    if (hasEnded()) {
        return true; // the bytes are discarded
    }
    // One piece is always taken, so that the response goes on when the caller has read it.
    const bool mayTake = m_responseBody.isEmpty() || m_held.hasRoom(n);
    return mayTake && m_responseBody.freeSpace() >= n && m_pipeline->mayHold(*this, n);
}

bool Exchange::appendResponse(const char *bytes, std::size_t n)
{
    if (!hasRoom(n)) {
        return false;
    }
    if (hasEnded()) {
        return true;
    }
    m_responseBody.append(bytes, n);
    m_held.set(m_responseBody.size());
    changed();
    return true;
}

void Exchange::finishResponse()
{
    m_isResponseComplete = true;
    changed();
}

void Exchange::abortResponse()
{
    m_isAborted = true;
    m_hasResponse = true;
    changed();
}

void Exchange::drop()
{
    m_isDropped = true;
    changed();
}

int Exchange::socket() const
{
    return m_pipeline ? m_pipeline->socket() : -1;
}

void Exchange::continueRequestBody()
{
    changed();
}

void Exchange::changed()
{
    if (m_pipeline) {
        m_pipeline->changed();
    }
}

/// Exchanges that have ended call no hook any more.
void Exchange::end(bool complete)
{
    m_pipeline = nullptr;
    onBody = nullptr;
    onGiveWay = nullptr;
    onResponseDrained = nullptr;
    if (const auto hook = std::exchange(onEnded, nullptr)) {
        hook(complete);
    }
}

}
