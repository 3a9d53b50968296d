#pragma once

#include "Http/SocketOptions.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Nutmegrill {

/// Caller on a plain socket. Its calls reach the kernel at once, whatever the event loop does, so
/// that bytes and the end of the connection can wait there for a busy entry.
class RawCaller
{
public:
    enum class Leave { Fin, Reset };

    /// A receive buffer of 0 bytes stands for the default size.
    explicit RawCaller(const std::string &address, int receiveBuffer = 0)
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer > 0)
            setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in peer{};
        parseSocketAddress(address, peer);
        this->connected =
                connect(this->socket, reinterpret_cast<sockaddr *>(&peer), sizeof(peer)) == 0;
    }
    ~RawCaller() { this->leave(Leave::Reset); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    bool isConnected() const { return this->connected; }

    void send(std::string_view text) const
    {
        ::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// Bytes that have arrived and were not read before.
    std::string received() const
    {
        std::string text;
        char block[4096];
        for (ssize_t size = 1; size > 0;) {
            size = recv(this->socket, block, sizeof(block), MSG_DONTWAIT);
            if (size > 0)
                text.append(block, static_cast<std::size_t>(size));
        }
        return text;
    }

    void leave(Leave how)
    {
        if (this->socket < 0)
            return;
        if (how == Leave::Reset) {
            const linger reset{1, 0};
            setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        ::close(std::exchange(this->socket, -1));
    }

private:
    int socket;
    bool connected = false;
};

} // namespace Nutmegrill
