#pragma once

#include "FreeAddress.h"
#include "Net/EventLoop.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>

namespace Nutmegrill {

/// Server on loopback that answers each request with a begin and then repeats a text without end.
class EndlessServer
{
public:
    EndlessServer(EventLoop &loop, std::string begin, const std::string &text)
        : address(freeAddress()), begin(std::move(begin))
    {
        while (this->block.size() < BlockBytes)
            this->block += text;
        sockaddr_in local{};
        int length = sizeof(local);
        evutil_parse_sockaddr_port(this->address.c_str(), reinterpret_cast<sockaddr *>(&local),
                                   &length);
        this->listener =
                evconnlistener_new_bind(loop.base(), &EndlessServer::accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
                                        reinterpret_cast<sockaddr *>(&local), sizeof(local));
    }
    ~EndlessServer()
    {
        evconnlistener_free(this->listener);
        for (const auto &[connection, hasBegun] : this->connections)
            bufferevent_free(connection);
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    std::size_t openConnections() const { return this->connections.size(); }

    std::string address;
    std::size_t sentBytes = 0;

private:
    static constexpr std::size_t BlockBytes = 32U << 10U;

    static void accept(evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                       void *context)
    {
        auto *self = static_cast<EndlessServer *>(context);
        bufferevent *connection = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                         BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection, &EndlessServer::read, &EndlessServer::written,
                          &EndlessServer::ended, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        self->connections[connection] = false;
    }

    static void read(bufferevent *connection, void *context)
    {
        auto *self = static_cast<EndlessServer *>(context);
        evbuffer *input = bufferevent_get_input(connection);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (!std::exchange(self->connections.at(connection), true))
            bufferevent_write(connection, self->begin.data(), self->begin.size());
    }

    static void written(bufferevent *connection, void *context)
    {
        auto *self = static_cast<EndlessServer *>(context);
        if (!self->connections.at(connection))
            return;
        bufferevent_write(connection, self->block.data(), self->block.size());
        self->sentBytes += self->block.size();
    }

    static void ended(bufferevent *connection, short, void *context)
    {
        static_cast<EndlessServer *>(context)->connections.erase(connection);
        bufferevent_free(connection);
    }

    std::string begin;
    std::string block;
    evconnlistener *listener = nullptr;
    /// Whether the answer has begun.
    std::map<bufferevent *, bool> connections;
};

} // namespace Nutmegrill
