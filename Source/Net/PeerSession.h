#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct nghttp2_session;

namespace Nutmegrill {

class EventLoop;
class PeerObserver;

/// An HTTP/2 connection between two Nutmegrill processes, based on nghttp2. Each stream carries
/// length-prefixed messages in both directions. HTTP/2 flow control applies backpressure to a
/// sender whose receiver has paused the stream.
class PeerSession
{
public:
    /// Flow-control window of a stream: bytes that may be in transit to a paused receiver.
    static constexpr std::uint32_t StreamWindowBytes = 64U << 10U;

    /// Limit on the size of a message; a larger one makes the receiving session fail.
    static constexpr std::uint32_t MaxMessageBytes = 16U << 20U;

    /// Connects to \a address ("IP:port"). Failure is reported by peerDisconnected().
    static std::unique_ptr<PeerSession> connect(EventLoop &loop, const std::string &address,
                                                PeerObserver &observer);

    /// Creates the server side of a session on the accepted socket \a fd.
    static std::unique_ptr<PeerSession> accept(EventLoop &loop, int fd, PeerObserver &observer);

    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /// Opens a stream. Called on the client side only. Returns 0 if the session is closed.
    std::int32_t openStream(const std::string &path);

    /// Queues a message. Has no effect if the stream is closed or this side has finished it.
    void send(std::int32_t streamId, std::string_view message);

    /// Half-closes the stream after the queued messages.
    void finish(std::int32_t streamId);

    /// Resets the stream. \a notProcessed guarantees to the peer that the stream took no effect.
    void reset(std::int32_t streamId, bool notProcessed);

    /// While a stream is paused, its messages are not delivered and its window is not refilled.
    void pause(std::int32_t streamId, bool paused);

    /// Bytes queued on the stream that have not been passed to the connection.
    std::size_t pendingBytes(std::int32_t streamId) const;

    /// Sends GOAWAY, so that the peer opens no further streams; open ones continue.
    void announceShutdown();

    /// Fails the session if nothing was received for \a idleTimeout, and sends a PING after a third
    /// of that time. Has to be called periodically.
    void checkLiveness(Instant now, std::chrono::milliseconds idleTimeout);

    bool isOpen() const { return this->open; }
    std::size_t openStreamCount() const { return this->streams.size(); }

    /// Bytes of HTTP/2 frames sent and received since the start of the session.
    std::uint64_t bytesSent() const { return this->sentBytes; }
    std::uint64_t bytesReceived() const { return this->receivedBytes; }

private:
    struct Stream
    {
        std::string path;
        std::string output;
        std::size_t outputOffset = 0;
        std::string input;
        std::size_t unconsumedBytes = 0;
        bool finishing = false;
        bool deferred = false;
        bool paused = false;
        bool announced = false;
        bool peerFinished = false;
        bool responded = false;
        bool refused = false;
    };
    struct Callbacks;

    PeerSession(EventLoop &loop, PeerObserver &observer, bool server);

    void start(bufferevent *connection);
    void receive();
    void flush();
    void fail();
    void closeStream(std::int32_t streamId, std::uint32_t errorCode);
    void deliverMessages(std::int32_t streamId);
    void respond(std::int32_t streamId);
    Stream *find(std::int32_t streamId);

    EventLoop &loop;
    PeerObserver &observer;
    bool server;
    bool open = false;
    bool connected = false;
    bool failureScheduled = false;
    bool insideNghttp2 = false;
    bool flushAgain = false;
    std::shared_ptr<bool> alive;
    bufferevent *connection = nullptr;
    nghttp2_session *session = nullptr;
    std::map<std::int32_t, Stream> streams;
    Instant lastReceived;
    Instant nextPing;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

} // namespace Nutmegrill
