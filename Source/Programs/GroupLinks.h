#pragma once

#include "Net/EventLoop.h"
#include "Net/PeerObserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Links from this process to the agents of a model group, for map change messages only. They are
/// separate from the links that carry work, because a group may have more agents than the subset
/// that an entry links to. Agents grant no credits to these links.
class GroupLinks : public PeerObserver
{
public:
    /// Path of the stream that carries the messages of a group.
    static constexpr std::string_view StreamPath = "/group";

    struct Identity
    {
        std::string process;
        std::string failureDomain;
        std::string deploymentKey;
        std::string group;
    };

    /// \a document is a MapMessage from the agent \a name.
    using Receiver = std::function<void(const std::string &name, const std::string &document)>;

    GroupLinks(EventLoop &loop, Identity identity, Receiver receiver);
    ~GroupLinks() override;

    /// Links to exactly these agents (address by name) and closes other links. Broken links are
    /// reopened.
    void setTargets(std::map<std::string, std::string> addresses);

    /// Drops the message while the link is down; the protocol repeats its messages.
    void send(const std::string &name, const std::string &document);

    std::size_t openCount() const;

    void peerConnected(PeerSession &session) override;
    void peerStreamOpened(PeerSession &session, std::int32_t stream,
                          std::string_view path) override;
    void peerMessage(PeerSession &session, std::int32_t stream, std::string message) override;
    void peerStreamClosed(PeerSession &session, std::int32_t stream, StreamEnd end) override;
    void peerDisconnected(PeerSession &session) override;

private:
    struct Link
    {
        std::string address;
        std::unique_ptr<PeerSession> session;
        std::int32_t stream = 0;
        Instant retryAt;
    };

    void checkLinks();
    void close(Link &link);

    EventLoop &loop;
    Identity identity;
    Receiver receiver;
    std::map<std::string, Link> links;
    /// Sessions to destroy later, because a session must not be destroyed in its own callback.
    std::vector<std::unique_ptr<PeerSession>> closedSessions;
    std::unique_ptr<EventLoop::Timer> timer;
};

} // namespace Nutmegrill
