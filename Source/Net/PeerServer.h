#pragma once

#include <memory>
#include <string>
#include <vector>

struct evconnlistener;

namespace Nutmegrill {

class EventLoop;
class PeerObserver;
class PeerSession;

/// Accepts peer sessions on one address.
class PeerServer
{
public:
    /// Listens on \a address ("IP:port"); isListening() returns whether that succeeded.
    PeerServer(EventLoop &loop, const std::string &address, PeerObserver &observer);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    bool isListening() const { return this->listener != nullptr; }

    /// Stops accepting connections; open sessions remain.
    void stopListening();

    const std::vector<std::unique_ptr<PeerSession>> &sessions() const { return this->accepted; }

    /// Frees the disconnected sessions. Must not be called from a callback of a session.
    void removeClosed();

    /// Creates a session on the accepted socket \a fd.
    void add(int fd);

private:
    EventLoop &loop;
    PeerObserver &observer;
    evconnlistener *listener = nullptr;
    std::vector<std::unique_ptr<PeerSession>> accepted;
};

} // namespace Nutmegrill
