#pragma once

#include "Http/ServerConnection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct evconnlistener;

namespace Nutmegrill {

class EventLoop;

/// Listens on one address and keeps the connections accepted there. Requests are numbered; a
/// response names the number.
class HttpListener
{
public:
    using RequestId = std::uint64_t;

    struct Request
    {
        RequestId id = 0;
        HttpHead head;
        std::string body;

        /// Path without the query.
        std::string_view path() const;
    };

    using RequestHandler = std::function<void(Request &&request)>;
    using Notice = std::function<void(RequestId id)>;

    /// Listens on \a address ("IP:port"). Open sockets are limited to \a maxConnections; further
    /// callers are closed at once.
    HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                 RequestHandler onRequest);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    bool isListening() const { return this->listener != nullptr; }

    /// Called when the caller of an open request is gone.
    void onGone(Notice notice) { this->gone = std::move(notice); }
    /// Called when a connection has taken all bytes of a streamed response.
    void onDrained(Notice notice) { this->drained = std::move(notice); }

    void setLimits(const ServerLimits &limits) { this->limits = limits; }

    /// Null when the request's caller is gone.
    ServerConnection *find(RequestId id);

    /// From now on each response announces the end of its connection.
    void announceClose();
    /// Closes the connections without an open request.
    void closeIdle();

    /// Enforces the time limits and frees connections that have ended.
    void tick(Instant now);

    std::size_t openRequests() const { return this->requests.size(); }
    std::size_t connections() const { return this->open.size(); }

private:
    struct Callbacks;
    struct Slot
    {
        std::unique_ptr<ServerConnection> connection;
        RequestId request = 0;
        bool closed = false;
    };

    void accept(int socket);

    EventLoop &loop;
    std::size_t maxConnections;
    RequestHandler handler;
    Notice gone;
    Notice drained;
    ServerLimits limits;
    evconnlistener *listener = nullptr;
    std::map<std::uint64_t, Slot> open;
    std::map<RequestId, std::uint64_t> requests;
    std::uint64_t nextSlot = 1;
    RequestId nextRequest = 1;
    bool closing = false;
};

} // namespace Nutmegrill
