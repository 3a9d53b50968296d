#pragma once

#include "Core/Time.h"
#include "Http/HttpHead.h"
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

/// An outgoing HTTP/1.1 connection. It carries one exchange at a time and can be reused for the
/// next one. Unexpected data closes it.
class ClientConnection : private HttpParser::Observer
{
public:
    enum class Failure {
        NotConnected, ///< the connection was not established and no byte was sent
        Refused,      ///< the same, because nothing listens at the address
        Broken,       ///< it failed after it was established, so the request may have been sent
        Malformed     ///< the peer sent data that is not an HTTP/1.1 response
    };

    /// Exactly one of onEnd and onFailure is called for each request, unless close() abandons it.
    struct Handlers
    {
        /// The connection was established after send(). Not called if it was established before.
        std::function<void()> onConnected;
        /// Returns false if the response belongs to another request; it is then skipped.
        std::function<bool(const HttpHead &head)> onHead;
        std::function<void(std::string_view data)> onData;
        std::function<void()> onEnd;
        std::function<void(Failure failure)> onFailure;
    };

    /// What happens when the peer acknowledges nothing for some seconds.
    enum class SilentPeer {
        Abort, ///< the request fails
        Wait   ///< the owner limits the time
    };

    /// Starts connecting to \a address ("IP:port").
    ClientConnection(EventLoop &loop, const std::string &address,
                     std::chrono::milliseconds connectTimeout,
                     SilentPeer silentPeer = SilentPeer::Abort);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Sends one whole request. The connection must be idle.
    void send(std::string_view request, Handlers handlers);

    /// Closes the connection at once, without calling a handler. Resets it if a request is open.
    void close();

    /// Closes the connection at once; a pending request fails with Failure::Broken.
    void abort();

    /// Stops reading while \a paused, so that TCP flow control stops the peer.
    void pauseReading(bool paused);

    bool isOpen() const { return this->connection != nullptr; }
    bool isConnected() const { return this->isOpen() && this->connected; }
    /// Bytes of the request that the socket has not taken yet.
    std::size_t unsentBytes() const;
    bool isBusy() const { return this->busy; }
    /// The connection is idle and the peer keeps it open.
    bool isReusable() const { return this->isOpen() && !this->busy && this->reusable; }

    /// Why the last request failed, for the log: the part of the answer that could not be read, or
    /// how the connection ended.
    std::string_view failureCause() const { return this->cause; }

    /// Time at which an idle connection has to be closed, before the peer closes it.
    Instant idleDeadline() const { return this->closeAt; }

private:
    struct Callbacks;

    void headParsed(HttpHead &&head) override;
    void bodyParsed(std::string_view data) override;
    void readInput();
    void connectionEnded(bool clean, bool refused);
    void responseEnded();
    void fail(Failure failure, std::string_view cause);

    EventLoop &loop;
    bufferevent *connection = nullptr;
    HttpParser parser;
    Handlers handlers;
    SilentPeer silentPeer;
    bool connected = false;
    /// The connection failed otherwise than by an end that the peer sent.
    bool wasReset = false;
    std::string_view cause;
    bool busy = false;
    bool reusable = true;
    bool skipping = false;
    bool interim = false;
    /// Bytes of interim and skipped responses to the present request.
    std::size_t discardedBytes = 0;
    std::chrono::milliseconds peerIdleTimeout;
    Instant closeAt;
    /// Expires with this object; detects its destruction inside a handler.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
