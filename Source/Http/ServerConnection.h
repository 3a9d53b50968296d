#pragma once

#include "Core/Time.h"
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

/// Bounds on what a caller may send, and on how long it may take.
struct ServerLimits
{
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headTime{3000};
    std::chrono::milliseconds idleTime{15000};
};

/// One incoming HTTP/1.1 connection. Requests on it are handled one after the other; the bytes of
/// a following request stay in the buffer until the response to the present one has ended.
class ServerConnection : private HttpParser::Observer
{
public:
    struct Handlers
    {
        /// A whole request was read. Exactly one response has to follow.
        std::function<void(HttpHead &&head, std::string &&body)> onRequest;
        /// The caller closed or lost its connection while its request was open.
        std::function<void()> onGone;
        /// The connection has ended and can be destroyed.
        std::function<void()> onClosed;
        /// The connection has taken all bytes of a streamed response so far.
        std::function<void()> onDrained;
    };

    ServerConnection(EventLoop &loop, int socket, const ServerLimits &limits, Handlers handlers);
    ~ServerConnection() override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// Whole response. The headers hold no Content-Length and no connection headers.
    void reply(int status, std::string_view reason, const HttpHead::Headers &headers,
               std::string_view body);

    /// Response in chunks, ended by endStream() or cut by abort().
    void startStream(int status, std::string_view reason, const HttpHead::Headers &headers);
    void sendPart(std::string_view data);
    void endStream();

    /// Closes without ending the response, so that it does not look complete.
    void abort();

    /// Announces the end of the connection with the next response. An idle connection is left to
    /// the caller, which may just be sending on it.
    void announceClose() { this->closing = true; }

    /// Closes the connection if no request is open or being read.
    void closeIfIdle();

    bool hasOpenRequest() const { return this->open; }
    bool isOpen() const { return this->connection != nullptr; }
    std::size_t pendingBytes() const;

    /// Closes the connection when its caller took too long.
    void checkDeadline(Instant now);

private:
    struct Callbacks;

    void headParsed(HttpHead &&head) override;
    void bodyParsed(std::string_view data) override;
    void readInput();
    void requestFailed(int status);
    void writeHead(int status, std::string_view reason, const HttpHead::Headers &headers,
                   const std::string &framing);
    void responseEnded();
    void closeAfterWrite();
    void ended();

    EventLoop &loop;
    const ServerLimits &limits;
    bufferevent *connection;
    HttpParser parser;
    Handlers handlers;
    HttpHead head;
    std::string body;
    bool open = false;
    bool streaming = false;
    bool closing = false;
    bool lingering = false;
    bool reading = false;
    Instant deadline;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
