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

/// Accepts HTTP/1.1 connections on one address and owns them. Each request has an ID, which find()
/// resolves to the connection that takes the response.
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
    using RequestCallback = std::function<void(RequestId id)>;

    /// Listens on \a address ("IP:port"). Connections beyond \a maxConnections are closed at once.
    HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                 RequestHandler onRequest);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    bool isListening() const { return this->listener != nullptr; }

    /// Sets the handler for a caller that disconnects before its request is answered.
    void onCallerDisconnected(RequestCallback handler)
    {
        this->disconnectHandler = std::move(handler);
    }
    /// Sets the handler for a connection that has sent all queued bytes of a streamed response.
    void onDrained(RequestCallback handler) { this->drainHandler = std::move(handler); }

    void setLimits(const ServerLimits &limits) { this->limits = limits; }
    /// Shares one budget with the other listeners of the process. Has to be called before the first
    /// connection is accepted.
    void setBudget(ByteBudget &shared) { this->budget = &shared; }
    /// Sets the handler for requests that were rejected while they were read, by status, and for
    /// connections that were shed (0).
    void onRejected(std::function<void(int status)> handler)
    {
        this->rejectionHandler = std::move(handler);
    }

    /// Connection of an open request; null if the request was answered or its caller disconnected.
    ServerConnection *find(RequestId id);

    /// Adds "Connection: close" to every further response.
    void announceClose();
    /// Closes the connections without an open request, but for new ones whose first request may be
    /// on its way.
    void closeIdle();
    /// Refuses new connections, so that their callers turn to another instance at once. Connections
    /// that are established already are accepted.
    void stopAccepting();
    /// Whether a response is not completely sent yet.
    bool hasUnsentBytes() const;

    /// Enforces the timeouts and frees closed connections. Has to be called periodically.
    void tick(Instant now);

    std::size_t openRequestCount() const { return this->requests.size(); }
    std::size_t connectionCount() const { return this->acceptedConnections.size(); }

private:
    struct Callbacks;
    struct AcceptedConnection
    {
        std::unique_ptr<ServerConnection> connection;
        RequestId request = 0;
        bool closed = false;
    };

    void accept(int socket);

    EventLoop &loop;
    std::size_t maxConnections;
    RequestHandler handler;
    RequestCallback disconnectHandler;
    RequestCallback drainHandler;
    std::function<void(int status)> rejectionHandler;
    ServerLimits limits;
    ByteBudget ownBudget;
    ByteBudget *budget = &this->ownBudget;
    evconnlistener *listener = nullptr;
    std::map<std::uint64_t, AcceptedConnection> acceptedConnections;
    std::map<RequestId, std::uint64_t> requests;
    std::uint64_t nextConnectionId = 1;
    RequestId nextRequestId = 1;
    bool closing = false;
    /// Expires with this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
