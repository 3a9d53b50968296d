#pragma once

#include "Core/Time.h"
#include "Http/ByteBudget.h"
#include "Http/HttpParser.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace Nutmegrill {

class EventLoop;

/// Limits on the size of a request and on the time that its caller may take.
struct ServerLimits
{
    std::size_t bodyBytes = 4U << 20U;
    /// From the first byte of a request to the end of its head.
    std::chrono::milliseconds headTime{3000};
    /// From the end of a response to the next request, and between two steps of progress of a body.
    std::chrono::milliseconds idleTime{15000};
};

/// An incoming HTTP/1.1 connection. Pipelined requests are handled one after the other: the next
/// one stays in the input buffer until the response to the current one has ended.
class ServerConnection : private HttpParser::Observer, private ByteBudget::Holder
{
public:
    struct Handlers
    {
        /// A complete request was read. Exactly one response has to be sent.
        std::function<void(HttpHead &&head, std::string &&body)> onRequest;
        /// The connection ended while its request was open.
        std::function<void()> onCallerDisconnected;
        /// The connection has ended; this object can be destroyed.
        std::function<void()> onClosed;
        /// All queued bytes of a streamed response have been sent.
        std::function<void()> onDrained;
        /// A request was rejected before onRequest, or the connection was shed (status 0).
        std::function<void(int status)> onRejected;
    };

    ServerConnection(EventLoop &loop, int socket, const ServerLimits &limits, ByteBudget &budget,
                     Handlers handlers);
    ~ServerConnection() override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// Sends a complete response. \a headers must not contain Content-Length or Connection.
    void reply(int status, std::string_view reason, const HttpHead::Headers &headers,
               std::string_view body);

    /// Starts a chunked response, which endStream() completes and abort() cuts off.
    void startStream(int status, std::string_view reason, const HttpHead::Headers &headers);
    void sendChunk(std::string_view data);
    void endStream();

    /// Closes the connection without ending the response, so that it is not taken for complete.
    void abort();
    bool isStreaming() const { return this->streaming; }

    /// Closes the connection, as if its end had been read, if the caller has closed or reset it.
    /// Asks the socket, because the end of a connection can wait behind other events. Returns
    /// whether the connection is closed.
    bool closeIfCallerLeft();

    /// Closes the connection after the next response. An idle connection stays open, because the
    /// caller may be sending a request on it.
    void announceClose() { this->closing = true; }

    /// Closes the connection unless a request is open or being read.
    void closeIfIdle();

    bool hasOpenRequest() const { return this->requestOpen; }
    bool isOpen() const { return this->connection != nullptr; }
    std::size_t pendingBytes() const;

    /// Ends the connection, or rejects a partial request with status 408, when its deadline has
    /// passed.
    void checkDeadline(Instant now);

private:
    struct Callbacks;

    void headParsed(HttpHead &&head) override;
    void bodyParsed(std::string_view data) override;
    Instant stalledSince() const override;
    void shed() override;
    void readInput();
    /// Why the request that is being read cannot be taken: its status, or 0.
    int statusToReject();
    /// Tells the budget what this connection holds now.
    void updateHeld();
    /// Whether the input buffer is full, so that the socket is not read.
    bool isInputFull() const;
    void rejectRequest(int status);
    void writeHead(int status, std::string_view reason, const HttpHead::Headers &headers,
                   const std::string &framing);
    void responseEnded();
    void closeAfterWrite();
    /// The last response is sent: the caller gets some time to close the connection.
    void endSending();
    /// A caller that reads a response slowly, but steadily, gets all of it.
    void extendForReader(Instant now);
    void closeAndNotify();

    EventLoop &loop;
    const ServerLimits &limits;
    ByteBudget &budget;
    bufferevent *connection;
    HttpParser parser;
    Handlers handlers;
    HttpHead head;
    std::string body;
    bool requestOpen = false;
    bool streaming = false;
    bool closing = false;
    bool lingering = false;
    bool reading = false;
    Instant deadline;
    /// The connection counts as idle only after this time or its first request.
    Instant firstRequestBy;
    /// Bytes of the body at the last extension of the deadline.
    std::size_t progress = 0;
    /// Unsent bytes of responses when the deadline was last checked.
    std::size_t unsentBytes = 0;
    /// Bytes of the head that is being read.
    std::size_t headBytes = 0;
    /// Content-Length of the request that is being read.
    std::size_t announcedBytes = 0;
    /// Bytes reserved for the request that is being read or open.
    std::size_t reservedBytes = 0;
    /// Latest time at which the body has to be complete.
    Instant bodyDueAt = NoDeadline;
    /// When the caller last sent a part of a request, or took a part of a response.
    Instant progressAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
