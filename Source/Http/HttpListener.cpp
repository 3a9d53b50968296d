#include "Http/HttpListener.h"

#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <unistd.h>
#include <utility>

#include <event2/listener.h>

namespace Nutmegrill {

namespace {

/// Length of the queue of connections that wait to be accepted. A full queue drops the opening
/// packet, which is sent again only after a second or more, so it is far longer than any burst
/// seen.
constexpr int AcceptQueue = 1024;

} // namespace

struct HttpListener::Callbacks
{
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        static_cast<HttpListener *>(self)->accept(socket);
    }
};

std::string_view HttpListener::Request::path() const
{
    return std::string_view(this->head.target).substr(0, this->head.target.find('?'));
}

HttpListener::HttpListener(EventLoop &loop, const std::string &address, std::size_t maxConnections,
                           RequestHandler onRequest)
    : loop(loop), maxConnections(maxConnections), handler(std::move(onRequest))
{
    sockaddr_in local{};
    if (!parseSocketAddress(address, local))
        return;
    this->listener = evconnlistener_new_bind(loop.base(), &Callbacks::onAccept, this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, AcceptQueue,
                                             reinterpret_cast<sockaddr *>(&local), sizeof(local));
}

HttpListener::~HttpListener()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
}

void HttpListener::accept(int socket)
{
    if (this->open.size() >= this->maxConnections) {
        ::close(socket);
        return;
    }
    evutil_make_socket_nonblocking(socket);
    const std::uint64_t number = this->nextSlot++;
    ServerConnection::Handlers handlers;
    handlers.onRequest = [this, number](HttpHead &&head, std::string &&body) {
        const RequestId id = this->nextRequest++;
        this->open.at(number).request = id;
        this->requests.emplace(id, number);
        this->handler({id, std::move(head), std::move(body)});
    };
    handlers.onGone = [this, number] {
        const RequestId id = this->open.at(number).request;
        this->requests.erase(id);
        if (this->gone)
            this->gone(id);
    };
    handlers.onClosed = [this, number] { this->open.at(number).closed = true; };
    handlers.onDrained = [this, number] {
        if (this->drained)
            this->drained(this->open.at(number).request);
    };
    Slot &slot = this->open[number];
    slot.connection = std::make_unique<ServerConnection>(this->loop, socket, this->limits,
                                                         std::move(handlers));
    if (this->closing)
        slot.connection->announceClose();
}

ServerConnection *HttpListener::find(RequestId id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return nullptr;
    const Slot &slot = this->open.at(found->second);
    // The connection may have gone on to its next request.
    return slot.request == id && slot.connection->hasOpenRequest() ? slot.connection.get()
                                                                   : nullptr;
}

void HttpListener::announceClose()
{
    this->closing = true;
    for (auto &[number, slot] : this->open)
        slot.connection->announceClose();
}

void HttpListener::closeIdle()
{
    for (auto &[number, slot] : this->open)
        slot.connection->closeIfIdle();
}

void HttpListener::tick(Instant now)
{
    for (auto entry = this->requests.begin(); entry != this->requests.end();) {
        const Slot &slot = this->open.at(entry->second);
        const bool ended = slot.request != entry->first || !slot.connection->hasOpenRequest();
        entry = ended ? this->requests.erase(entry) : std::next(entry);
    }
    for (auto entry = this->open.begin(); entry != this->open.end();) {
        entry->second.connection->checkDeadline(now);
        entry = entry->second.closed ? this->open.erase(entry) : std::next(entry);
    }
}

} // namespace Nutmegrill
