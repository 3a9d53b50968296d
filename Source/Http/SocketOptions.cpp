#include "Http/SocketOptions.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/util.h>

namespace Nutmegrill {

namespace {

// An unresponsive peer is detected within idle time + count * interval = 3 s, the time after which
// the platform expects working instances to be back to normal.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveCount = 2;
/// Time that sent data may stay unacknowledged (TCP_USER_TIMEOUT). It allows some retransmissions
/// on a lossy link, but is well below the 8 s deadline of a model request.
constexpr unsigned UserTimeoutMs = 2000;

void setOption(evutil_socket_t socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void setSocketOptions(bufferevent *connection)
{
    const evutil_socket_t socket = bufferevent_getfd(connection);
    if (socket < 0)
        return;
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveCount);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof(UserTimeoutMs));
}

bool isClosedByPeer(int socket)
{
    char byte = 0;
    const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size == 0)
        return true;
    if (size < 0)
        return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    pollfd state{socket, POLLRDHUP, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool hasUnreadBytes(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool parseSocketAddress(const std::string &text, sockaddr_in &address)
{
    int length = sizeof(address);
    return evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&address), &length)
                   == 0
           && address.sin_family == AF_INET && address.sin_port != 0;
}

} // namespace Nutmegrill
