#include "base/sockets_p.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Galenarock
{

namespace
{
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;
constexpr unsigned UnacknowledgedMs = 2'500;

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

int toCurl(bool isSet)
{
    return isSet ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}
}

int detectSilence(void *, curl_socket_t fd, curlsocktype)
{
    return toCurl(setProbes(fd, UnacknowledgedMs));
}

int discardUnsent(void *, curl_socket_t fd, curlsocktype)
{
    const linger abortive{1, 0}; // close() sends a reset and drops what has not been sent
    return toCurl(setProbes(fd, static_cast<unsigned>(DiscardAfter.count()))
                  && setOption(fd, SOL_SOCKET, SO_LINGER, abortive));
}

}
