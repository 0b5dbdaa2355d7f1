#pragma once

#include <galenarock/thread.h>

#include <standin/eventloop_p.h>
#include <standin/httpclient_p.h>

namespace Galenarock::Standin
{

/// Runs a loop on a thread of its own; construct after the servers, so that it ends before them.
class LoopThread
{
public:
    explicit LoopThread(EventLoop &loop)
        : m_loop(loop)
        , m_thread("loop", [&loop] { loop.run(); })
    {
    }
    ~LoopThread()
    {
        m_loop.stop();
        m_thread.join();
    }
    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

private:
    EventLoop &m_loop;
    Thread m_thread;
};

/// Performs a call; a failed call has status 0 and the error code as its body.
inline HttpReply call(HttpCall call)
{
    return tryOr([&]() -> Result<HttpReply> { return callHttp(call); },
                 [](ErrorCode code, const std::string &) {
                     HttpReply reply;
                     reply.body = errorMessage(code);
                     return reply;
                 });
}

}
