#include "CrowdCaller.h"

#include "Http/SocketOptions.h"

#include <utility>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Nutmegrill {

namespace {

/// A caller that does not read soon lets the peer feel it.
constexpr int ReceiveBuffer = 4096;
/// Bytes that a caller sends in one turn, so that all callers send at the same time.
constexpr std::size_t BytesPerTurn = 256U << 10U;

} // namespace

CrowdCaller::CrowdCaller(const std::string &address, Source source)
    : socket(::socket(AF_INET, SOCK_STREAM, 0)), source(std::move(source))
{
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof(ReceiveBuffer));
    sockaddr_in peer{};
    parseSocketAddress(address, peer);
    if (connect(this->socket, reinterpret_cast<sockaddr *>(&peer), sizeof(peer)) != 0) {
        ::close(std::exchange(this->socket, -1));
        return;
    }
    fcntl(this->socket, F_SETFL, fcntl(this->socket, F_GETFL) | O_NONBLOCK);
}

CrowdCaller::~CrowdCaller()
{
    if (this->socket >= 0)
        ::close(this->socket);
}

bool CrowdCaller::sendSome()
{
    std::size_t sent = 0;
    while (this->socket >= 0 && sent < BytesPerTurn) {
        if (this->pending.empty())
            this->pending = this->source();
        if (this->pending.empty())
            break;
        const ssize_t size =
                ::send(this->socket, this->pending.data(), this->pending.size(), MSG_NOSIGNAL);
        if (size <= 0)
            break;
        sent += static_cast<std::size_t>(size);
        this->pending.erase(0, static_cast<std::size_t>(size));
    }
    return sent > 0;
}

} // namespace Nutmegrill
