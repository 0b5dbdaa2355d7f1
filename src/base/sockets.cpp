#include "base/sockets_p.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Galenarock
{

namespace
{
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;
constexpr unsigned UnacknowledgedMs = 2'500;
constexpr unsigned NoTimeoutMs = 0;
/// Probes of a closed window without an answer after which the other end counts as silent again.
constexpr unsigned MaxUnansweredProbes = 2;

template<typename T> bool setOption(int fd, int level, int name, T value)
{
    return setsockopt(fd, level, name, &value, sizeof value) == 0;
}

bool setProbes(int fd, unsigned unacknowledgedMs)
{
    return setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1) && setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds)
        && setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds)
        && setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount)
        && setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMs);
}

/// Whether bytes wait only because the other end reads nothing: all that was sent is acknowledged, as are the probes of
/// its closed window.
bool isWindowClosed(int fd)
{
    tcp_info info{};
    socklen_t n = sizeof info;
    int queuedBytes = 0;
    const bool isKnown =
        getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &n) == 0 && ioctl(fd, SIOCOUTQ, &queuedBytes) == 0;
    return isKnown && queuedBytes > 0 && info.tcpi_unacked == 0 && info.tcpi_probes < MaxUnansweredProbes;
}

int toCurl(bool isSet)
{
    return isSet ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}
}

int detectSilence(void *, curl_socket_t fd, curlsocktype)
{
    return toCurl(setProbes(fd, UnacknowledgedMs));
}

/// Linux counts the time of a closed window toward TCP_USER_TIMEOUT, however its probes are answered.
void allowClosedWindow(curl_socket_t fd)
{
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, isWindowClosed(fd) ? NoTimeoutMs : UnacknowledgedMs);
}

int discardUnsent(void *, curl_socket_t fd, curlsocktype)
{
    const linger abortive{1, 0}; // close() sends a reset and drops what has not been sent
    return toCurl(setProbes(fd, static_cast<unsigned>(DiscardAfter.count()))
                  && setOption(fd, SOL_SOCKET, SO_LINGER, abortive));
}

}
