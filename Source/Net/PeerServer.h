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
    /// Listens on \a address ("IP:port"); isListening() tells whether that worked.
    PeerServer(EventLoop &loop, const std::string &address, PeerObserver &observer);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    bool isListening() const { return this->listener != nullptr; }

    /// Stops accepting; open sessions go on.
    void stopListening();

    const std::vector<std::unique_ptr<PeerSession>> &sessions() const { return this->accepted; }

    /// Frees the sessions that have been disconnected. Not to be called from a callback of a
    /// session.
    void removeClosed();

    /// Takes over an accepted socket.
    void add(int fd);

private:
    EventLoop &loop;
    PeerObserver &observer;
    evconnlistener *listener = nullptr;
    std::vector<std::unique_ptr<PeerSession>> accepted;
};

} // namespace Nutmegrill
