#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Nutmegrill {

class PeerSession;

/// Receives the events of peer sessions. A callback must not destroy the session that calls it.
class PeerObserver
{
public:
    enum class StreamEnd {
        Finished,     ///< both sides ended the stream
        NotProcessed, ///< the peer reset the stream with REFUSED_STREAM: it took no effect
        Broken        ///< the stream was reset or the session failed
    };

    virtual ~PeerObserver() = default;

    /// The connection is established. Called for client sessions only.
    virtual void peerConnected(PeerSession &) {}

    /// The peer opened a stream on \a path.
    virtual void peerStreamOpened(PeerSession &, std::int32_t streamId, std::string_view path) = 0;

    virtual void peerMessage(PeerSession &, std::int32_t streamId, std::string message) = 0;

    virtual void peerStreamClosed(PeerSession &, std::int32_t streamId, StreamEnd end) = 0;

    /// Queued bytes of the stream have been sent, so pendingBytes() has decreased.
    virtual void peerStreamDrained(PeerSession &, std::int32_t) {}

    /// The session has failed. All its open streams have been reported as closed before.
    virtual void peerDisconnected(PeerSession &) = 0;
};

} // namespace Nutmegrill
