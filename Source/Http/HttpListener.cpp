#include "Http/HttpListener.h"

#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <algorithm>
#include <chrono>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <event2/listener.h>

namespace Nutmegrill {

namespace {

/// Backlog of connections that wait to be accepted. A full backlog drops SYN packets, which clients
/// retransmit only after a second or more, so it exceeds any observed burst by far.
constexpr int ListenBacklog = 1024;
/// A listener that accepts no connection for want of descriptors tries again after this time.
constexpr std::chrono::milliseconds AcceptPause{100};
/// Without a budget of the process: some requests of the largest size.
constexpr std::size_t DefaultBudgetBytes = 64U << 20U;

} // namespace

struct HttpListener::Callbacks
{
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        static_cast<HttpListener *>(self)->accept(socket);
    }

    // Without a pause, the loop would call accept() again at once, for ever.
    static void onError(evconnlistener *listener, void *context)
    {
        auto *self = static_cast<HttpListener *>(context);
        evconnlistener_disable(listener);
        self->loop.after(AcceptPause, [self, alive = std::weak_ptr<bool>(self->alive)] {
            if (!alive.expired() && self->listener != nullptr)
                evconnlistener_enable(self->listener);
        });
    }
};

std::string_view HttpListener::Request::path() const
{
    return std::string_view(this->head.target).substr(0, this->head.target.find('?'));
}

HttpListener::HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                           RequestHandler onRequest)
    : loop(loop), maxConnections(maxConnections), handler(std::move(onRequest)),
      ownBudget(DefaultBudgetBytes)
{
    sockaddr_in local{};
    if (!parseSocketAddress(address, local))
        return;
    this->listener = evconnlistener_new_bind(
            loop.base(), &Callbacks::onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            ListenBacklog, reinterpret_cast<sockaddr *>(&local), sizeof(local));
    if (this->listener != nullptr)
        evconnlistener_set_error_cb(this->listener, &Callbacks::onError);
}

HttpListener::~HttpListener()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
}

void HttpListener::accept(int socket)
{
    if (this->acceptedConnections.size() >= this->maxConnections) {
        ::close(socket);
        return;
    }
    evutil_make_socket_nonblocking(socket);
    const std::uint64_t connectionId = this->nextConnectionId++;
    ServerConnection::Handlers handlers;
    handlers.onRequest = [this, connectionId](HttpHead &&head, std::string &&body) {
        const RequestId id = this->nextRequestId++;
        this->acceptedConnections.at(connectionId).request = id;
        this->requests.emplace(id, connectionId);
        this->handler({id, std::move(head), std::move(body)});
    };
    handlers.onCallerDisconnected = [this, connectionId] {
        const RequestId id = this->acceptedConnections.at(connectionId).request;
        this->requests.erase(id);
        if (this->disconnectHandler)
            this->disconnectHandler(id);
    };
    handlers.onClosed = [this, connectionId] {
        this->acceptedConnections.at(connectionId).closed = true;
    };
    handlers.onDrained = [this, connectionId] {
        if (this->drainHandler)
            this->drainHandler(this->acceptedConnections.at(connectionId).request);
    };
    handlers.onRejected = [this](int status) {
        if (this->rejectionHandler)
            this->rejectionHandler(status);
    };
    AcceptedConnection &accepted = this->acceptedConnections[connectionId];
    accepted.connection = std::make_unique<ServerConnection>(this->loop, socket, this->limits,
                                                             *this->budget, std::move(handlers));
    if (this->closing)
        accepted.connection->announceClose();
}

ServerConnection *HttpListener::find(RequestId id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return nullptr;
    const AcceptedConnection &accepted = this->acceptedConnections.at(found->second);
    // The connection may already serve its next request.
    return accepted.request == id && accepted.connection->hasOpenRequest()
                   ? accepted.connection.get()
                   : nullptr;
}

void HttpListener::announceClose()
{
    this->closing = true;
    for (auto &[connectionId, accepted] : this->acceptedConnections)
        accepted.connection->announceClose();
}

void HttpListener::closeIdle()
{
    for (auto &[connectionId, accepted] : this->acceptedConnections)
        accepted.connection->closeIfIdle();
}

void HttpListener::stopAccepting()
{
    if (this->listener == nullptr)
        return;
    // Closing the listener resets the connections that wait to be accepted.
    const int listening = evconnlistener_get_fd(this->listener);
    for (int socket = ::accept(listening, nullptr, nullptr); socket >= 0;
         socket = ::accept(listening, nullptr, nullptr))
        this->accept(socket);
    evconnlistener_free(std::exchange(this->listener, nullptr));
}

bool HttpListener::hasUnsentBytes() const
{
    return std::any_of(
            this->acceptedConnections.begin(), this->acceptedConnections.end(),
            [](const auto &entry) { return entry.second.connection->pendingBytes() > 0; });
}

void HttpListener::tick(Instant now)
{
    for (auto it = this->requests.begin(); it != this->requests.end();) {
        const AcceptedConnection &accepted = this->acceptedConnections.at(it->second);
        const bool ended = accepted.request != it->first || !accepted.connection->hasOpenRequest();
        it = ended ? this->requests.erase(it) : std::next(it);
    }
    for (auto it = this->acceptedConnections.begin(); it != this->acceptedConnections.end();) {
        it->second.connection->checkDeadline(now);
        it = it->second.closed ? this->acceptedConnections.erase(it) : std::next(it);
    }
}

} // namespace Nutmegrill
