#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Nutmegrill {

class PeerSession;

/// Receives what happens on a peer session. No callback may destroy the session that calls it.
class PeerObserver
{
public:
    enum class StreamEnd {
        Finished,     ///< both sides ended the stream
        NotProcessed, ///< the peer says that it did not act on the stream
        Broken        ///< reset, or the session broke
    };

    virtual ~PeerObserver() = default;

    /// The connection is up. Client sessions only.
    virtual void peerConnected(PeerSession &) {}

    /// The peer opened a stream on \a path.
    virtual void peerStreamOpened(PeerSession &, std::int32_t stream, std::string_view path) = 0;

    virtual void peerMessage(PeerSession &, std::int32_t stream, std::string message) = 0;

    virtual void peerStreamClosed(PeerSession &, std::int32_t stream, StreamEnd end) = 0;

    /// Messages of the stream have been taken by the connection; pendingBytes() is lower now.
    virtual void peerStreamDrained(PeerSession &, std::int32_t) {}

    /// The session is unusable. Every open stream was reported closed before.
    virtual void peerDisconnected(PeerSession &) = 0;
};

} // namespace Nutmegrill
