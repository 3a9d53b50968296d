#pragma once

#include "FreeAddress.h"
#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace Nutmegrill {

/// Worker of the platform that answers each request without a body with the given bytes and then
/// ends the connection, with or without a reset.
class RawWorker
{
public:
    enum class End { Close, Reset, KeepOpen };

    /// The bytes for a request, by its number on its connection, from 1.
    using AnswerOf = std::function<std::string(int request)>;

    RawWorker(EventLoop &loop, const std::string &answer, End end)
        : RawWorker(
                loop, [answer](int) { return answer; }, end)
    {}
    RawWorker(EventLoop &loop, AnswerOf answerOf, End end)
        : address(freeAddress()), answerOf(std::move(answerOf)), end(end)
    {
        sockaddr_in local{};
        parseSocketAddress(this->address, local);
        this->listener = evconnlistener_new_bind(
                loop.base(), &RawWorker::accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
                reinterpret_cast<sockaddr *>(&local), sizeof(local));
    }
    ~RawWorker()
    {
        evconnlistener_free(this->listener);
        for (bufferevent *connection : this->connections)
            bufferevent_free(connection);
    }
    RawWorker(const RawWorker &) = delete;
    RawWorker &operator=(const RawWorker &) = delete;

    std::string record(const std::string &service) const
    {
        return R"({"service":")" + service + R"(","address":")" + this->address
               + R"(","zone":"n","slots":4,"state":"ready","coldLeftMs":0,"born":5})";
    }

    std::size_t openConnections() const { return this->connections.size(); }

    std::string address;
    int requests = 0;

private:
    static void accept(evconnlistener *listener, evutil_socket_t socket, sockaddr *, int,
                       void *context)
    {
        auto *self = static_cast<RawWorker *>(context);
        bufferevent *connection = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                         BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection, &RawWorker::read, &RawWorker::written, &RawWorker::event,
                          self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        self->connections.insert(connection);
    }

    static void read(bufferevent *connection, void *context)
    {
        auto *self = static_cast<RawWorker *>(context);
        evbuffer *input = bufferevent_get_input(connection);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0)
            return;
        evbuffer_drain(input, evbuffer_get_length(input));
        ++self->requests;
        const std::string answer = self->answerOf(++self->answered[connection]);
        bufferevent_write(connection, answer.data(), answer.size());
    }

    static void written(bufferevent *connection, void *context)
    {
        auto *self = static_cast<RawWorker *>(context);
        // Also called before the first answer.
        if (self->answered.count(connection) == 0 || self->end == End::KeepOpen
            || evbuffer_get_length(bufferevent_get_output(connection)))
            return;
        if (self->end == End::Reset) {
            const linger reset{1, 0};
            setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        self->drop(connection);
    }

    static void event(bufferevent *connection, short what, void *context)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<RawWorker *>(context)->drop(connection);
    }

    void drop(bufferevent *connection)
    {
        this->connections.erase(connection);
        this->answered.erase(connection);
        bufferevent_free(connection);
    }

    AnswerOf answerOf;
    End end;
    evconnlistener *listener = nullptr;
    std::set<bufferevent *> connections;
    /// Number of requests on the connection.
    std::map<bufferevent *, int> answered;
};

} // namespace Nutmegrill
