#include "Http/ServerConnection.h"

#include "Http/SocketOptions.h"
#include "Net/EventLoop.h"

#include <algorithm>
#include <charconv>
#include <sys/socket.h>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace Nutmegrill {

namespace {

/// Time for the caller to close the connection after the last byte of the last response was sent.
constexpr std::chrono::milliseconds LingerTime{1000};
/// A caller that takes no byte of a response for this long is not reading it.
constexpr std::chrono::milliseconds MaxReaderStall{5000};
/// Bytes of a body that count as progress within the idle time. Single bytes now and then do not.
constexpr std::size_t MinBodyProgress = 1024;
/// From the head to the end of the body. Callers wait for an answer for some seconds only.
constexpr std::chrono::seconds MaxBodyTime{60};
/// Received bytes that wait behind an open request. More stay in the socket, which slows the caller
/// down.
constexpr std::size_t MaxInputBytes = 64U << 10U;
/// Unsent bytes of responses above which the next request has to wait.
constexpr std::size_t MaxUnsentBytes = 64U << 10U;
/// A request is held once as read and once as sent to a backend server.
constexpr std::size_t CopiesOfBody = 2;
/// Return time of a request for which there is no memory.
constexpr const char *MemoryRetryAfter = "1";
/// A new connection is not idle before its first request had the time to arrive.
constexpr std::chrono::milliseconds FirstRequestTime{1000};

std::string_view defaultReasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

struct ServerConnection::Callbacks
{
    static void onRead(bufferevent *, void *self)
    {
        static_cast<ServerConnection *>(self)->readInput();
    }

    static void onWrite(bufferevent *, void *context)
    {
        auto *self = static_cast<ServerConnection *>(context);
        // Also called when the socket becomes writable for the first time.
        if (self->pendingBytes() > 0)
            return;
        self->updateHeld();
        if (self->lingering && self->connection != nullptr) {
            self->endSending();
            return;
        }
        if (self->streaming && self->handlers.onDrained)
            self->handlers.onDrained();
        else if (!self->requestOpen)
            self->readInput();
    }

    static void onEvent(bufferevent *, short, void *context)
    {
        auto *self = static_cast<ServerConnection *>(context);
        self->closeAndNotify();
    }
};

ServerConnection::ServerConnection(EventLoop &loop, int socket, const ServerLimits &limits,
                                   ByteBudget &budget, Handlers handlers)
    : loop(loop), limits(limits), budget(budget),
      connection(bufferevent_socket_new(loop.base(), socket,
                                        BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      parser(HttpParser::Kind::Request, *this), handlers(std::move(handlers)),
      deadline(loop.now() + limits.idleTime), firstRequestBy(loop.now() + FirstRequestTime),
      progressAt(loop.now())
{
    setSocketOptions(this->connection);
    bufferevent_setwatermark(this->connection, EV_READ, 0, MaxInputBytes);
    bufferevent_setcb(this->connection, &Callbacks::onRead, &Callbacks::onWrite,
                      &Callbacks::onEvent, this);
    bufferevent_enable(this->connection, EV_READ | EV_WRITE);
}

ServerConnection::~ServerConnection()
{
    this->budget.setHeld(this, 0);
    if (this->connection != nullptr)
        bufferevent_free(this->connection);
}

std::size_t ServerConnection::pendingBytes() const
{
    return this->connection == nullptr
                   ? 0
                   : evbuffer_get_length(bufferevent_get_output(this->connection));
}

void ServerConnection::headParsed(HttpHead &&parsed)
{
    this->head = std::move(parsed);
    this->body.clear();
    this->progress = 0;
    this->announcedBytes = 0;
    if (const std::string *length = this->head.find("content-length"))
        std::from_chars(length->data(), length->data() + length->size(), this->announcedBytes);
    this->deadline = this->loop.now() + this->limits.idleTime;
    this->bodyDueAt = this->loop.now() + MaxBodyTime;
}

void ServerConnection::bodyParsed(std::string_view data)
{
    // Stores at most one byte more than the limit, by which readInput() detects an oversized body.
    if (this->body.size() <= this->limits.bodyBytes)
        this->body.append(data.substr(0, this->limits.bodyBytes + 1 - this->body.size()));
    if (this->body.size() >= this->progress + MinBodyProgress) {
        this->progress = this->body.size();
        this->deadline = std::min(this->loop.now() + this->limits.idleTime, this->bodyDueAt);
    }
}

Instant ServerConnection::stalledSince() const
{
    const bool isReading = !this->requestOpen && !this->lingering
                           && this->parser.state() != HttpParser::State::Idle;
    return isReading || (!this->requestOpen && this->pendingBytes() > 0) ? this->progressAt
                                                                         : NoDeadline;
}

void ServerConnection::shed()
{
    if (this->connection == nullptr)
        return;
    if (this->pendingBytes() == 0) {
        this->rejectRequest(408);
        return;
    }
    if (this->handlers.onRejected)
        this->handlers.onRejected(0);
    this->closeAndNotify();
}

void ServerConnection::updateHeld()
{
    if (this->connection == nullptr) {
        this->budget.setHeld(this, 0);
        return;
    }
    const std::size_t input = evbuffer_get_length(bufferevent_get_input(this->connection));
    this->budget.setHeld(this,
                         input + this->headBytes + this->reservedBytes + this->pendingBytes());
}

bool ServerConnection::isInputFull() const
{
    return evbuffer_get_length(bufferevent_get_input(this->connection)) >= MaxInputBytes;
}

int ServerConnection::statusToReject()
{
    const std::size_t bytes = std::max(this->announcedBytes, this->body.size());
    if (bytes > this->limits.bodyBytes)
        return 413;
    // A chunked body grows: it reserves ahead, so that it asks seldom.
    const bool isGrowing = this->announcedBytes == 0 && bytes > 0
                           && this->parser.state() == HttpParser::State::Body;
    const std::size_t wanted = CopiesOfBody * (isGrowing ? bytes + bytes / 2 : bytes);
    if (CopiesOfBody * bytes <= this->reservedBytes && !this->budget.isExhausted())
        return 0;
    if (!this->budget.canEverFit(CopiesOfBody * bytes))
        return 413;
    if (!this->budget.makeRoom(this->loop.now(), wanted - this->reservedBytes, this))
        return 503;
    this->reservedBytes = wanted;
    return 0;
}

void ServerConnection::readInput()
{
    // Prevents recursion: a handler may respond at once, which starts the next pipelined request.
    if (this->reading)
        return;
    this->reading = true;
    const std::weak_ptr<bool> guard = this->alive;
    while (this->connection != nullptr && !this->requestOpen) {
        evbuffer *input = bufferevent_get_input(this->connection);
        // Responses that the caller does not read hold back its further requests.
        if (!this->lingering && this->pendingBytes() > MaxUnsentBytes)
            break;
        if (this->lingering) {
            evbuffer_drain(input, evbuffer_get_length(input));
            break;
        }
        const std::size_t length = evbuffer_get_contiguous_space(input);
        if (length == 0)
            break;
        const bool wasIdle = this->parser.state() == HttpParser::State::Idle;
        const auto *bytes = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
        const std::size_t used = this->parser.feed({bytes, length});
        evbuffer_drain(input, used);
        this->progressAt = this->loop.now();
        this->headBytes =
                this->parser.state() == HttpParser::State::Head ? this->headBytes + used : 0;
        if (wasIdle && this->parser.state() == HttpParser::State::Head)
            this->deadline = this->loop.now() + this->limits.headTime;
        if (this->parser.state() == HttpParser::State::Failed) {
            this->rejectRequest(this->parser.isHeadTooLarge() ? 431 : 400);
            break;
        }
        if (const int status = this->statusToReject(); status != 0) {
            this->rejectRequest(status);
            break;
        }
        if (this->parser.state() == HttpParser::State::Complete) {
            this->requestOpen = true;
            this->deadline = NoDeadline;
            this->firstRequestBy = Instant();
            this->handlers.onRequest(std::move(this->head), std::move(this->body));
            if (guard.expired())
                return;
            this->body.clear();
        }
    }
    this->reading = false;
    this->updateHeld();
}

void ServerConnection::rejectRequest(int status)
{
    this->requestOpen = true;
    this->head.keepAlive = false;
    this->closing = true;
    this->body = std::string();
    if (this->handlers.onRejected)
        this->handlers.onRejected(status);
    this->reply(status, {},
                status == 503 ? HttpHead::Headers{{"Retry-After", MemoryRetryAfter}}
                              : HttpHead::Headers{},
                {});
}

void ServerConnection::writeHead(int status, std::string_view reason,
                                 const HttpHead::Headers &headers, const std::string &framing)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += reason.empty() ? defaultReasonPhrase(status) : reason;
    text += "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += framing;
    if (this->closing)
        text += "Connection: close\r\n";
    text += "\r\n";
    bufferevent_write(this->connection, text.data(), text.size());
}

void ServerConnection::reply(int status, std::string_view reason, const HttpHead::Headers &headers,
                             std::string_view content)
{
    if (this->connection == nullptr || !this->requestOpen)
        return;
    this->closing = this->closing || !this->head.keepAlive;
    this->writeHead(status, reason, headers,
                    "Content-Length: " + std::to_string(content.size()) + "\r\n");
    bufferevent_write(this->connection, content.data(), content.size());
    this->responseEnded();
}

void ServerConnection::startStream(int status, std::string_view reason,
                                   const HttpHead::Headers &headers)
{
    if (this->connection == nullptr || !this->requestOpen)
        return;
    this->streaming = true;
    this->closing = this->closing || !this->head.keepAlive;
    this->writeHead(status, reason, headers, "Transfer-Encoding: chunked\r\n");
}

void ServerConnection::sendChunk(std::string_view data)
{
    if (this->connection == nullptr || !this->streaming || data.empty())
        return;
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = data.size(); rest > 0; rest /= Digits.size())
        size.insert(size.begin(), Digits[rest % Digits.size()]);
    std::string chunk = size + "\r\n";
    chunk += data;
    chunk += "\r\n";
    bufferevent_write(this->connection, chunk.data(), chunk.size());
}

void ServerConnection::endStream()
{
    if (this->connection == nullptr || !this->streaming)
        return;
    static constexpr std::string_view LastChunk = "0\r\n\r\n";
    bufferevent_write(this->connection, LastChunk.data(), LastChunk.size());
    this->streaming = false;
    this->responseEnded();
}

void ServerConnection::responseEnded()
{
    this->requestOpen = false;
    this->reservedBytes = 0;
    this->headBytes = 0;
    this->announcedBytes = 0;
    this->progressAt = this->loop.now();
    this->updateHeld();
    if (this->closing) {
        this->closeAfterWrite();
        return;
    }
    this->parser.next();
    this->deadline = this->loop.now() + this->limits.idleTime;
    if (evbuffer_get_length(bufferevent_get_input(this->connection)) > 0) {
        const std::weak_ptr<bool> guard = this->alive;
        this->loop.after(std::chrono::milliseconds(0), [this, guard] {
            if (!guard.expired())
                this->readInput();
        });
    }
}

void ServerConnection::closeAfterWrite()
{
    this->lingering = true;
    this->deadline = this->loop.now() + MaxReaderStall;
    if (this->pendingBytes() == 0)
        this->endSending();
}

void ServerConnection::endSending()
{
    // Closes only the sending side: closing the socket while received bytes are unread would reset
    // the connection, and the caller could lose the response.
    shutdown(bufferevent_getfd(this->connection), SHUT_WR);
    this->deadline = this->loop.now() + LingerTime;
}

void ServerConnection::extendForReader(Instant now)
{
    const std::size_t unsent = this->pendingBytes();
    if (unsent > 0 && unsent < this->unsentBytes) {
        this->deadline = std::max(this->deadline, now + MaxReaderStall);
        this->progressAt = now;
    }
    this->unsentBytes = unsent;
}

void ServerConnection::abort()
{
    this->requestOpen = false;
    this->streaming = false;
    if (this->connection != nullptr)
        this->closeAndNotify();
}

bool ServerConnection::closeIfCallerLeft()
{
    if (this->connection != nullptr && isClosedByPeer(bufferevent_getfd(this->connection)))
        this->closeAndNotify();
    return this->connection == nullptr;
}

void ServerConnection::closeIfIdle()
{
    if (!this->requestOpen && !this->lingering && this->parser.state() == HttpParser::State::Idle
        && this->connection != nullptr && this->loop.now() >= this->firstRequestBy
        && evbuffer_get_length(bufferevent_get_input(this->connection)) == 0
        && !hasUnreadBytes(bufferevent_getfd(this->connection))) {
        this->closeAfterWrite();
    }
}

void ServerConnection::checkDeadline(Instant now)
{
    if (this->connection == nullptr)
        return;
    if (this->requestOpen) {
        // The end of the connection is not noticed while the socket is not read.
        if (this->isInputFull())
            this->closeIfCallerLeft();
        return;
    }
    this->extendForReader(now);
    if (this->deadline > now)
        return;
    if (this->lingering || this->parser.state() == HttpParser::State::Idle)
        this->closeAndNotify();
    else
        this->rejectRequest(408);
}

void ServerConnection::closeAndNotify()
{
    if (this->connection != nullptr) {
        bufferevent_free(this->connection);
        this->connection = nullptr;
    }
    this->reservedBytes = 0;
    this->body = std::string();
    this->updateHeld();
    const bool hadOpenRequest = this->requestOpen;
    this->requestOpen = false;
    this->streaming = false;
    if (hadOpenRequest)
        this->handlers.onCallerDisconnected();
    this->handlers.onClosed();
}

} // namespace Nutmegrill
