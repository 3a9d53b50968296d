#pragma once

#include "Core/Time.h"
#include "Http/HttpHead.h"
#include "Http/HttpParser.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace Nutmegrill {

class EventLoop;

/// One outgoing HTTP/1.1 connection that carries one exchange at a time and can be kept for the
/// next one. It is closed as soon as anything unexpected arrives on it.
class ClientConnection : private HttpParser::Observer
{
public:
    enum class Failure {
        NotConnected, ///< the connection was never established: no byte was sent
        Broken,       ///< it ended or failed after the request was sent
        Malformed     ///< the peer sent bytes that are no HTTP/1.1 response
    };

    /// Exactly one of onEnd and onFailure is called for each request, unless it is abandoned by
    /// close().
    struct Handlers
    {
        /// Returns false for a response that belongs to another request; it is then skipped.
        std::function<bool(const HttpHead &head)> onHead;
        std::function<void(std::string_view data)> onData;
        std::function<void()> onEnd;
        std::function<void(Failure failure)> onFailure;
    };

    /// Starts to connect to \a address ("IP:port").
    ClientConnection(EventLoop &loop, const std::string &address,
                     std::chrono::milliseconds connectLimit);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Sends one whole request. The connection must be idle.
    void send(std::string_view request, Handlers handlers);

    /// Closes at once; no handler is called any more.
    void close();

    /// Closes at once; a call that waits for its answer fails as broken.
    void abort();

    /// Stops reading while \a paused, so that TCP holds back the peer.
    void pauseReading(bool paused);

    bool isOpen() const { return this->connection != nullptr; }
    bool isBusy() const { return this->busy; }
    /// The connection is idle and the peer keeps it open.
    bool isReusable() const { return this->isOpen() && !this->busy && this->reusable; }

    /// When the connection has to be closed because the peer is about to close it.
    Instant idleDeadline() const { return this->closeAt; }

private:
    struct Callbacks;

    void headParsed(HttpHead &&head) override;
    void bodyParsed(std::string_view data) override;
    void readInput();
    void connectionEnded(bool clean);
    void responseEnded();
    void fail(Failure failure);

    EventLoop &loop;
    bufferevent *connection = nullptr;
    HttpParser parser;
    Handlers handlers;
    bool connected = false;
    bool busy = false;
    bool reusable = true;
    bool skipping = false;
    bool interim = false;
    std::chrono::milliseconds peerIdleLimit;
    Instant closeAt;
    /// Guards against destruction of this object inside one of its handlers.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
