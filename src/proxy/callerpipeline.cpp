#include "callerpipeline_p.h"

#include <algorithm>

#include "responsehead_p.h"

namespace Galenarock
{

namespace
{
/// Bytes that wait to be sent on one connection; beyond it streamed bodies stay in their exchanges.
constexpr std::size_t OutputBytes = 65'536;
constexpr std::size_t ChunkBytes = 32'768;

/// Whether a response with this status to this method has a body (RFC 9112, section 6.3).
bool hasBody(const std::string &method, unsigned status)
{
    return method != "HEAD" && status != 204 && status != 304;
}
}

CallerPipeline::CallerPipeline(const PipelineLimits &limits, PipelineHooks hooks, std::string callerAddress)
    : m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_callerAddress(std::move(callerAddress))
    , m_parser(limits.headBytes)
{
}

CallerPipeline::~CallerPipeline()
{
    disconnect();
}

void CallerPipeline::receive(Instant now, std::string_view bytes)
{
    if (m_isClosing) {
        return;
    }
    m_input.append(bytes);
    pump(now);
    if (m_input.empty()) {
        clearBuffer(m_input);
    }
}

Instant CallerPipeline::lastDeadline() const
{
    auto last = m_answeredDeadline;
    for (const auto &it : m_entries) {
        last = std::max(last, it->deadline());
    }
    return last;
}

std::size_t CallerPipeline::callerBytes() const
{
    auto n = ConnectionCostBytes + m_input.capacity() + m_output.capacity();
    for (const auto &it : m_entries) {
        n += it->callerBytes();
    }
    n += m_held ? m_held->callerBytes() : 0;
    const bool isAnswered = m_receiving && m_receiving->hasEnded();
    return n + (isAnswered ? m_receiving->callerBytes() : 0);
}

bool CallerPipeline::canGiveWay() const
{
    if (m_isClosing) {
        return false;
    }
    const auto isOpen = [](const std::shared_ptr<Exchange> &it) {
        return !it->hasResponse() && it->onGiveWay;
    };
    return m_entries.empty() ? m_output.empty() : std::any_of(m_entries.begin(), m_entries.end(), isOpen);
}

void CallerPipeline::giveWay(std::string_view cause)
{
    if (m_entries.empty()) {
        close();
        return;
    }
    const auto entries = m_entries; // the hooks may change it
    for (const auto &it : entries) {
        if (it->hasEnded() || it->hasResponse() || !it->onGiveWay) {
            continue;
        }
        it->m_head.keepsAlive = false;
        const auto hook = it->onGiveWay;
        hook(cause);
    }
}

bool CallerPipeline::wantsInput() const
{
    if (m_isClosing || m_held) {
        return false;
    }
    if (!m_receiving) {
        return mayReadHead();
    }
    const bool isDiscarded = m_receiving->hasEnded() || m_receiving->hasResponse();
    return isDiscarded ? m_discardedBytes <= m_limits.discardedBytes
                       : m_receiving->m_requestBody.freeSpace() > m_input.size();
}

void CallerPipeline::pump(Instant now)
{
    if (m_output.empty() && !m_entries.empty() && m_entries.front()->onResponseDrained) {
        m_entries.front()->onResponseDrained(); // it may have waited for the output, see mayHold()
    }
    do {
        while (!m_isClosing && answerFront()) {}
    } while (!m_isClosing && readRequests(now));
}

bool CallerPipeline::readRequests(Instant now)
{
    bool hasStarted = false;
    while (!m_isClosing) {
        if (m_receiving) {
            if (!readBody(now)) {
                break;
            }
        } else if (m_held) {
            if (!startHeld()) {
                break;
            }
            hasStarted = true;
        } else if (!readHead(now)) {
            break;
        }
    }
    return hasStarted;
}

/// The response to an unreadable request closes the connection, so nothing is read behind it. A stopping daemon answers
/// what it has started; the caller sends the rest again elsewhere.
bool CallerPipeline::mayReadHead() const
{
    if (m_output.size() >= OutputBytes) {
        return false; // the caller does not read its answers
    }
    if (m_entries.empty()) {
        return true;
    }
    return m_entries.size() < m_limits.requests && m_entries.back()->m_head.keepsAlive && !m_hooks.isStopping()
        && heldBytes() < m_limits.heldBytes;
}

bool CallerPipeline::readHead(Instant now)
{
    if (m_input.empty() || !mayReadHead()) {
        return false;
    }
    m_input.erase(0, m_parser.parse(m_input));
    if (m_parser.defect()) {
        refuseUnreadable(now);
        return false;
    }
    if (!m_parser.isHeadComplete()) {
        return false;
    }
    m_held = std::make_shared<Exchange>(m_parser.takeHead(), now);
    return true;
}

bool CallerPipeline::startHeld()
{
    const bool isBehindOthers = !m_entries.empty();
    if (isBehindOthers && !(m_hooks.mayRunAhead(*m_held) && m_hooks.mayRunAhead(*m_entries.front()))) {
        return false;
    }
    const auto exchange = std::exchange(m_held, nullptr);
    exchange->m_pipeline = this;
    exchange->m_depth = m_entries.size() + 1;
    exchange->m_callerAddress = m_callerAddress;
    m_entries.push_back(exchange);
    m_hooks.onRequest(exchange);
    m_discardedBytes = 0;
    m_receiving = exchange;
    if (m_parser.isComplete()) {
        finishRequest();
    }
    return true;
}

void CallerPipeline::finishRequest()
{
    const auto exchange = std::exchange(m_receiving, nullptr);
    m_parser.next();
    exchange->m_isRequestComplete = true;
    if (exchange->onBody) {
        exchange->onBody();
    }
}

bool CallerPipeline::readBody(Instant now)
{
    const auto exchange = m_receiving;
    const bool isDiscarded = exchange->hasEnded() || exchange->hasResponse();
    const bool hasRoom = isDiscarded ? m_discardedBytes <= m_limits.discardedBytes
                                     : exchange->m_requestBody.freeSpace() >= m_input.size();
    if (m_input.empty() || !hasRoom) {
        return false;
    }
    const auto n = m_parser.parse(m_input);
    m_input.erase(0, n);
    const auto body = m_parser.takeBody();
    if (m_parser.defect()) {
        refuseUnreadable(now);
        return false;
    }
    if (isDiscarded) {
        discardBody(n);
    } else {
        exchange->m_requestBody.append(body.data(), body.size());
    }
    if (m_isClosing) {
        return false;
    }
    if (m_parser.isComplete()) {
        finishRequest();
        return true;
    }
    if (!isDiscarded && !body.empty() && exchange->onBody) {
        exchange->onBody();
    }
    return n > 0;
}

void CallerPipeline::discardBody(std::size_t bytes)
{
    m_discardedBytes += bytes;
    if (m_discardedBytes > m_limits.discardedBytes && m_entries.empty()) {
        close();
    }
}

/// Answers a request that cannot be read, in its turn. One whose body turns out to be malformed has been started: it
/// ends as if its caller had left.
void CallerPipeline::refuseUnreadable(Instant now)
{
    const auto defect = *m_parser.defect();
    m_hooks.onMalformed(defect.text);
    clearBuffer(m_input);
    RequestHead head;
    head.keepsAlive = false;
    auto refusal = std::make_shared<Exchange>(std::move(head), now);
    refusal->m_pipeline = this;
    refusal->m_isRequestComplete = true;
    const auto started = std::exchange(m_receiving, nullptr);
    if (started && (started->hasEnded() || started->hasResponse())) {
        // Its response is on the way or sent; nothing more can be told.
        refusal->m_pipeline = nullptr;
        started->m_head.keepsAlive = false;
        m_closesAfterFront =
            m_closesAfterFront || (m_isHeadWritten && !m_entries.empty() && started == m_entries.front());
        if (started->hasEnded()) {
            close();
        }
        return;
    }
    if (started) {
        m_entries.pop_back(); // the request that is being received is the newest one
    }
    m_entries.push_back(refusal);
    refusal->respond(defect.status, {{"Content-Type", "text/plain"}}, defect.text + "\n");
    if (started) {
        started->end(false);
    }
}

bool CallerPipeline::answerFront()
{
    const auto isDropped = [](const std::shared_ptr<Exchange> &it) {
        return it->m_isDropped;
    };
    if (std::any_of(m_entries.begin(), m_entries.end(), isDropped)) {
        close();
        return false;
    }
    if (m_entries.empty()) {
        return false;
    }
    const auto front = m_entries.front();
    if (!front->hasResponse()) {
        writeInterim(*front);
        return false;
    }
    if (front->m_isAborted && !front->m_isStreaming) {
        close();
        return false;
    }
    if (!m_isHeadWritten) {
        writeHead(*front);
    }
    if (!writeBody(*front)) {
        return false;
    }
    finishFront();
    return true;
}

void CallerPipeline::writeInterim(const Exchange &front)
{
    if (!front.m_head.expectsContinue || m_isInterimWritten || m_receiving.get() != &front) {
        return;
    }
    m_isInterimWritten = true;
    m_output.append("HTTP/1.1 100 Continue\r\n\r\n");
}

bool CallerPipeline::closesConnection(const Exchange &front) const
{
    if (!front.m_head.keepsAlive || (m_hooks.isStopping() && m_entries.size() == 1)) {
        return true;
    }
    if (front.m_isRequestComplete) {
        return false;
    }
    // The caller may not send the body, so that what follows cannot be told from it; or too much would be read in vain.
    const bool isWaiting = front.m_head.expectsContinue && !m_isInterimWritten;
    return isWaiting || front.m_head.bodyLength.value_or(0) > m_limits.discardedBytes;
}

void CallerPipeline::writeHead(const Exchange &front)
{
    m_isHeadWritten = true;
    m_bodyBytesWritten = 0;
    ResponseFraming framing;
    framing.isHttp10 = front.m_head.isHttp10;
    framing.closes = closesConnection(front);
    const bool hasContent = hasBody(front.method(), front.m_status);
    if (!front.m_isStreaming) {
        const bool isLengthTrue = hasContent || (front.method() == "HEAD" && !front.m_completeBody.empty());
        framing.length = isLengthTrue ? std::optional<std::uint64_t>(front.m_completeBody.size()) : std::nullopt;
    } else if (hasContent) {
        framing.length = front.m_responseLength;
        framing.isChunked = !framing.length && !framing.isHttp10;
        framing.closes = framing.closes || (!framing.length && !framing.isChunked);
    }
    m_isChunked = framing.isChunked;
    m_closesAfterFront = framing.closes;
    appendResponseHead(m_output, front.m_status, front.m_responseHeaders, framing);
}

bool CallerPipeline::writeBody(Exchange &front)
{
    const bool hasContent = hasBody(front.method(), front.m_status);
    if (front.m_isStreaming && hasContent) {
        return writeStreamedBody(front);
    }
    if (hasContent) {
        m_output.append(front.m_completeBody);
    }
    return front.m_isResponseComplete;
}

bool CallerPipeline::writeStreamedBody(Exchange &front)
{
    auto &body = front.m_responseBody;
    bool hasTaken = false;
    std::string chunk;
    while (!body.isEmpty() && m_output.size() < OutputBytes) {
        chunk.resize(std::min(ChunkBytes, body.size()));
        const auto n = body.take(chunk.data(), chunk.size());
        m_bodyBytesWritten += n;
        if (m_isChunked) {
            appendChunk(m_output, chunk.data(), n);
        } else {
            m_output.append(chunk, 0, n);
        }
        hasTaken = true;
    }
    front.m_held.set(body.size());
    if (hasTaken && front.onResponseDrained) {
        front.onResponseDrained();
    }
    if (!body.isEmpty()) {
        return false;
    }
    const bool isShort =
        front.m_isResponseComplete && front.m_responseLength.value_or(m_bodyBytesWritten) != m_bodyBytesWritten;
    if (front.m_isAborted || isShort) {
        // Without a length and without chunks only a reset tells the caller that the body is incomplete.
        m_needsReset = !m_isChunked && !front.m_responseLength;
        close();
        return false;
    }
    if (front.m_isResponseComplete && m_isChunked) {
        appendLastChunk(m_output);
    }
    return front.m_isResponseComplete;
}

void CallerPipeline::finishFront()
{
    const auto front = m_entries.front();
    m_entries.pop_front();
    m_answeredDeadline = std::max(m_answeredDeadline, front->deadline());
    m_isHeadWritten = false;
    m_isInterimWritten = false;
    m_isChunked = false;
    if (std::exchange(m_closesAfterFront, false)) {
        close();
    } else if (!m_entries.empty() && m_entries.front()->onResponseDrained) {
        m_entries.front()->onResponseDrained(); // it may have waited for its turn
    }
    front->end(true);
}

std::size_t CallerPipeline::heldBytes() const
{
    std::size_t bytes = 0;
    for (const auto &it : m_entries) {
        if (it == m_entries.front()) {
            continue;
        }
        bytes += it->m_completeBody.size() + it->m_responseBody.size();
    }
    return bytes;
}

bool CallerPipeline::mayHold(const Exchange &exchange, std::size_t n) const
{
    const bool isFront = !m_entries.empty() && m_entries.front().get() == &exchange;
    if (isMemoryShort()) {
        return isFront && m_output.empty() && exchange.m_responseBody.isEmpty();
    }
    return isFront || heldBytes() + n <= m_limits.heldBytes;
}

void CallerPipeline::close()
{
    m_isClosing = true;
    clearBuffer(m_input);
    m_held.reset();
    m_receiving.reset();
    const auto ended = std::exchange(m_entries, {});
    for (const auto &it : ended) {
        it->end(false);
    }
}

void CallerPipeline::disconnect()
{
    close();
    m_output.clear();
}

}
