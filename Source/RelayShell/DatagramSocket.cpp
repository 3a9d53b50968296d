#include "RelayShell/DatagramSocket.h"

#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <array>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <event2/event.h>

namespace Nutmegrill {

DatagramSocket::DatagramSocket(EventLoop &loop, const std::string &address, Handler handler)
    : handler(std::move(handler))
{
    sockaddr_in local{};
    if (!parseSocketAddress(address, local))
        return;
    this->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (this->socket < 0
        || bind(this->socket, reinterpret_cast<sockaddr *>(&local), sizeof(local)) != 0)
        return;
    this->readEvent = event_new(
            loop.base(), this->socket, EV_READ | EV_PERSIST,
            [](evutil_socket_t, short, void *self) {
                static_cast<DatagramSocket *>(self)->readAll();
            },
            this);
    event_add(this->readEvent, nullptr);
}

DatagramSocket::~DatagramSocket()
{
    if (this->readEvent != nullptr)
        event_free(this->readEvent);
    if (this->socket >= 0)
        close(this->socket);
}

bool DatagramSocket::send(const std::string &address, std::string_view bytes)
{
    sockaddr_in peer{};
    return this->socket >= 0 && parseSocketAddress(address, peer)
           && sendto(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr *>(&peer), sizeof(peer))
                      == static_cast<ssize_t>(bytes.size());
}

void DatagramSocket::readAll()
{
    std::array<char, 1U << 16U> buffer;
    for (;;) {
        const ssize_t length = recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length < 0)
            return;
        this->handler({buffer.data(), static_cast<std::size_t>(length)});
    }
}

} // namespace Nutmegrill
