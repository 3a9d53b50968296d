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

/// One nghttp2 connection between two of our processes. A stream carries length-prefixed messages
/// in both directions. HTTP/2 flow control holds back a sender whose receiver has paused the
/// stream.
class PeerSession
{
public:
    /// Bytes of one stream that may be on their way to a paused receiver.
    static constexpr std::uint32_t StreamWindowBytes = 64U << 10U;

    /// Largest message; a longer one breaks the session.
    static constexpr std::uint32_t MaxMessageBytes = 16U << 20U;

    /// Connects to \a address ("IP:port"). Failure is reported by peerDisconnected().
    static std::unique_ptr<PeerSession> connect(EventLoop &loop, const std::string &address,
                                                PeerObserver &observer);

    /// Takes over the accepted socket \a fd.
    static std::unique_ptr<PeerSession> accept(EventLoop &loop, int fd, PeerObserver &observer);

    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /// Client side: opens a stream. Returns 0 when the session is closed.
    std::int32_t openStream(const std::string &path);

    /// Queues a message; without effect when the stream is gone.
    void send(std::int32_t stream, std::string_view message);

    /// Ends this side of the stream after the queued messages.
    void finish(std::int32_t stream);

    /// Aborts the stream. With \a notProcessed the peer may rely on nothing having been done.
    void reset(std::int32_t stream, bool notProcessed);

    /// While paused, the stream's messages are not reported and its window is not refilled.
    void pause(std::int32_t stream, bool paused);

    /// Bytes queued on the stream that the connection has not taken.
    std::size_t pendingBytes(std::int32_t stream) const;

    /// Tells the peer to open no more streams; the open ones go on.
    void announceShutdown();

    /// Breaks the session when nothing was received until \a silenceDeadline after the last byte,
    /// and sends a PING when half of that has passed. Call it periodically.
    void checkLiveness(Instant now, std::chrono::milliseconds silenceLimit);

    bool isOpen() const { return this->open; }
    std::size_t openStreams() const { return this->streams.size(); }

    /// Bytes on the wire since the start of the session.
    std::uint64_t bytesSent() const { return this->sentBytes; }
    std::uint64_t bytesReceived() const { return this->receivedBytes; }

private:
    struct Stream
    {
        std::string path;
        std::string output;
        std::size_t outputOffset = 0;
        std::string input;
        std::size_t unconsumed = 0;
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
    void closeStream(std::int32_t stream, std::uint32_t errorCode);
    void deliver(std::int32_t stream);
    void respond(std::int32_t stream);
    Stream *find(std::int32_t stream);

    EventLoop &loop;
    PeerObserver &observer;
    bool server;
    bool open = false;
    bool connected = false;
    bool failureScheduled = false;
    bool insideLibrary = false;
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
