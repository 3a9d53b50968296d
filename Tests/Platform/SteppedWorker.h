#pragma once

#include "FreeAddress.h"
#include "Http/SocketOptions.h"

#include <string>
#include <string_view>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Nutmegrill {

/// Worker of the platform on plain sockets, which a test drives step by step. It reads nothing
/// unless told to, so that a long upload stays unsent at the entry.
class SteppedWorker
{
public:
    enum class End {
        Reset,         ///< a reset; what the entry has not sent yet fails
        Close,         ///< the end of the answer; the rest of the request is still accepted
        CloseThenReset ///< the end of the answer, and then a reset
    };

    SteppedWorker()
        : address(freeAddress()), listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        // The smallest buffer; accepted sockets inherit it.
        const int receiveBuffer = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        const int reuse = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        sockaddr_in local{};
        parseSocketAddress(this->address, local);
        CPPUNIT_ASSERT_EQUAL(
                0, bind(this->listener, reinterpret_cast<sockaddr *>(&local), sizeof(local)));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(this->listener, 8));
    }
    ~SteppedWorker()
    {
        this->closeConnection();
        ::close(this->listener);
    }
    SteppedWorker(const SteppedWorker &) = delete;
    SteppedWorker &operator=(const SteppedWorker &) = delete;

    std::string record(const std::string &service) const
    {
        return R"({"service":")" + service + R"(","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    /// Accepts the next connection, if there is one, and drops the present one.
    bool accept()
    {
        const int accepted = ::accept(this->listener, nullptr, nullptr);
        if (accepted < 0)
            return false;
        this->closeConnection();
        this->connection = accepted;
        ++this->connections;
        return true;
    }

    /// Whether a part of a request can be read.
    bool hasRequest() const
    {
        char byte = 0;
        return recv(this->connection, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    void readAll() const
    {
        char block[4096];
        while (recv(this->connection, block, sizeof(block), MSG_DONTWAIT) > 0) {
        }
    }

    void send(std::string_view text) const
    {
        while (!text.empty()) {
            const ssize_t sent = ::send(this->connection, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    void end(End how)
    {
        if (how != End::Reset)
            shutdown(this->connection, SHUT_WR);
        if (how != End::Close)
            this->closeConnection();
    }

    std::string address;
    int connections = 0;

private:
    void closeConnection()
    {
        if (this->connection < 0)
            return;
        const linger reset{1, 0};
        setsockopt(this->connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(std::exchange(this->connection, -1));
    }

    int listener;
    int connection = -1;
};

} // namespace Nutmegrill
