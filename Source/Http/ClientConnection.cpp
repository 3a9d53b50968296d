#include "Http/ClientConnection.h"

#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace Nutmegrill {

namespace {

/// Idle timeout of a peer that states none in a Keep-Alive header.
constexpr std::chrono::milliseconds DefaultIdleTimeout{4000};
/// A Keep-Alive timeout is in whole seconds and may be rounded up. Half of it leaves a margin for a
/// request that is in transit when the peer closes the connection.
constexpr int KeepAliveTimeoutDivisor = 2;
/// Bytes of interim responses and of responses to earlier requests that are skipped for one
/// request. A faulty peer may send them without end.
constexpr std::size_t MaxDiscardedBytes = 256U << 10U;

constexpr std::string_view HeadMethod = "HEAD ";

std::chrono::milliseconds idleTimeoutOf(const HttpHead &head)
{
    const std::string *value = head.find("keep-alive");
    if (value == nullptr)
        return DefaultIdleTimeout;
    static constexpr std::string_view Key = "timeout=";
    const auto at = value->find(Key);
    unsigned seconds = 0;
    if (at == std::string::npos
        || std::from_chars(value->data() + at + Key.size(), value->data() + value->size(), seconds)
                           .ec
                   != std::errc())
        return DefaultIdleTimeout;
    return std::chrono::milliseconds(std::chrono::seconds(seconds)) / KeepAliveTimeoutDivisor;
}

} // namespace

struct ClientConnection::Callbacks
{
    static void onRead(bufferevent *, void *self)
    {
        static_cast<ClientConnection *>(self)->readInput();
    }

    static void onEvent(bufferevent *connection, short what, void *context)
    {
        auto *self = static_cast<ClientConnection *>(context);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            self->connected = true;
            if (self->silentPeer == SilentPeer::Abort)
                setSocketOptions(connection);
            bufferevent_set_timeouts(connection, nullptr, nullptr);
            if (self->busy && self->handlers.onConnected)
                self->handlers.onConnected();
            return;
        }
        const int error = (what & BEV_EVENT_ERROR) != 0 ? EVUTIL_SOCKET_ERROR() : 0;
        // A socket reports a reset once: if writing reports it, reading only finds an end. After an
        // end, writing fails with EPIPE.
        if (error != 0 && error != EPIPE)
            self->wasReset = true;
        const std::weak_ptr<bool> alive = self->alive;
        self->readInput();
        // After a failure to write, what the peer sent before is still to be read.
        const bool isReadable = self->connected && (what & BEV_EVENT_READING) == 0;
        if (!alive.expired() && !isReadable)
            self->connectionEnded((what & BEV_EVENT_EOF) != 0 && !self->wasReset,
                                  error == ECONNREFUSED);
    }
};

ClientConnection::ClientConnection(EventLoop &loop, const std::string &address,
                                   std::chrono::milliseconds connectTimeout, SilentPeer silentPeer)
    : loop(loop), parser(HttpParser::Kind::Response, *this), silentPeer(silentPeer),
      peerIdleTimeout(DefaultIdleTimeout), closeAt(loop.now() + DefaultIdleTimeout)
{
    sockaddr_in peer{};
    if (!parseSocketAddress(address, peer))
        return;
    this->connection = bufferevent_socket_new(loop.base(), -1,
                                              BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(this->connection, &Callbacks::onRead, nullptr, &Callbacks::onEvent, this);
    bufferevent_enable(this->connection, EV_READ | EV_WRITE);
    // libevent applies the write timeout while the connection is being established.
    const timeval timeout{static_cast<time_t>(connectTimeout.count() / 1000),
                          static_cast<suseconds_t>(connectTimeout.count() % 1000 * 1000)};
    bufferevent_set_timeouts(this->connection, nullptr, &timeout);
    if (bufferevent_socket_connect(this->connection, reinterpret_cast<sockaddr *>(&peer),
                                   sizeof(peer))
        != 0)
        this->close();
}

ClientConnection::~ClientConnection()
{
    this->close();
}

void ClientConnection::send(std::string_view request, Handlers newHandlers)
{
    this->handlers = std::move(newHandlers);
    this->busy = true;
    this->discardedBytes = 0;
    this->parser.setAnswersHead(request.substr(0, HeadMethod.size()) == HeadMethod);
    if (this->connection == nullptr) {
        const std::weak_ptr<bool> guard = this->alive;
        this->loop.after(std::chrono::milliseconds(0), [this, guard] {
            if (!guard.expired() && this->busy)
                this->fail(Failure::NotConnected, "not connected");
        });
        return;
    }
    bufferevent_write(this->connection, request.data(), request.size());
}

std::size_t ClientConnection::unsentBytes() const
{
    return this->connection == nullptr
                   ? 0
                   : evbuffer_get_length(bufferevent_get_output(this->connection));
}

void ClientConnection::close()
{
    this->reusable = false;
    const bool isAbandoned = std::exchange(this->busy, false);
    if (this->connection == nullptr)
        return;
    if (isAbandoned) {
        // A reset drops the bytes that are still on their way. Otherwise a peer that stood still
        // would get a request whose caller has left.
        const linger reset{1, 0};
        setsockopt(bufferevent_getfd(this->connection), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
    }
    bufferevent_free(this->connection);
    this->connection = nullptr;
}

void ClientConnection::abort()
{
    if (this->busy)
        this->fail(Failure::Broken, "aborted");
    else
        this->close();
}

void ClientConnection::pauseReading(bool paused)
{
    if (this->connection == nullptr)
        return;
    if (paused)
        bufferevent_disable(this->connection, EV_READ);
    else
        bufferevent_enable(this->connection, EV_READ);
}

void ClientConnection::headParsed(HttpHead &&head)
{
    this->interim = head.status / 100 == 1;
    if (this->interim)
        return;
    this->peerIdleTimeout = idleTimeoutOf(head);
    if (!head.keepAlive || !head.isFramed)
        this->reusable = false;
    this->skipping = !this->handlers.onHead(head);
    if (this->skipping)
        this->reusable = false;
}

void ClientConnection::bodyParsed(std::string_view data)
{
    if (!this->skipping && !this->interim && this->busy)
        this->handlers.onData(data);
}

void ClientConnection::readInput()
{
    const std::weak_ptr<bool> guard = this->alive;
    while (this->connection != nullptr) {
        evbuffer *input = bufferevent_get_input(this->connection);
        const std::size_t length = evbuffer_get_contiguous_space(input);
        if (length == 0)
            return;
        if (!this->busy) {
            // Unsolicited data: a later response on this connection could not be trusted.
            this->close();
            return;
        }
        const auto *bytes = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
        const std::size_t used = this->parser.feed({bytes, length});
        if (guard.expired() || this->connection == nullptr)
            return;
        evbuffer_drain(input, used);
        if (this->interim || this->skipping)
            this->discardedBytes += used;
        if (this->discardedBytes > MaxDiscardedBytes) {
            this->fail(Failure::Malformed, "skipped bytes");
            return;
        }
        if (this->parser.state() == HttpParser::State::Failed) {
            this->fail(Failure::Malformed, this->parser.fault());
            return;
        }
        if (this->parser.state() == HttpParser::State::Complete) {
            this->responseEnded();
            if (guard.expired())
                return;
        }
    }
}

void ClientConnection::connectionEnded(bool clean, bool refused)
{
    if (!this->busy) {
        this->close();
        return;
    }
    if (clean && this->parser.finish()) {
        const std::weak_ptr<bool> guard = this->alive;
        this->responseEnded();
        // After a skipped response the request is still unanswered.
        if (guard.expired() || !this->busy)
            return;
    }
    if (this->connected)
        this->fail(Failure::Broken, this->wasReset ? "reset" : "early end");
    else
        this->fail(refused ? Failure::Refused : Failure::NotConnected, "not connected");
}

void ClientConnection::responseEnded()
{
    this->parser.next();
    if (this->interim || this->skipping) {
        this->interim = false;
        this->skipping = false;
        return;
    }
    // Unsent request bytes (the response arrived early) or data after the response would be mixed
    // up with the next exchange, so the connection is not reused.
    if (evbuffer_get_length(bufferevent_get_output(this->connection)) > 0
        || evbuffer_get_length(bufferevent_get_input(this->connection)) > 0)
        this->reusable = false;
    this->busy = false;
    this->closeAt = this->loop.now() + this->peerIdleTimeout;
    const auto done = std::move(this->handlers.onEnd);
    this->handlers = {};
    if (!this->reusable)
        this->close();
    done();
}

void ClientConnection::fail(Failure failure, std::string_view failureCause)
{
    this->cause = failureCause;
    const auto done = std::move(this->handlers.onFailure);
    this->handlers = {};
    this->close();
    done(failure);
}

} // namespace Nutmegrill
