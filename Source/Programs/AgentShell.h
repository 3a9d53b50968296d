#pragma once

#include "Agent/AgentNode.h"
#include "Net/EventLoop.h"
#include "Net/Metrics.h"
#include "Net/PeerObserver.h"
#include "Net/PeerServer.h"
#include "Net/StoreClient.h"
#include "Programs/BackendCaller.h"
#include "Programs/ClaimWriter.h"
#include "Programs/ControlServer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

class GroupMember;
class InstanceListReader;

/// I/O layer of the agent process: passes events to an AgentNode and executes its commands on the
/// peer links, the backend server and the store.
class AgentShell : public PeerObserver
{
public:
    struct Options
    {
        AgentSettings node;
        std::string listenAddress;
        std::string controlAddress;
        std::string backendAddress;
        std::string storeAddress;
        /// Empty: the instance list is not read.
        std::string instancesAddress;
        /// Model group of which the backend server is a rank; empty: none.
        std::string group;
        /// Empty: no weights are loaded.
        std::string weightsAddress;
    };

    AgentShell(EventLoop &loop, const Options &options);
    ~AgentShell() override;

    /// Empty when the process can serve, otherwise the reason why it cannot.
    std::string startError() const;

    /// Runs until the node has stopped.
    void run();

    void peerStreamOpened(PeerSession &session, std::int32_t stream,
                          std::string_view path) override;
    void peerMessage(PeerSession &session, std::int32_t stream, std::string message) override;
    void peerStreamClosed(PeerSession &session, std::int32_t stream, StreamEnd end) override;
    void peerStreamDrained(PeerSession &session, std::int32_t stream) override;
    void peerDisconnected(PeerSession &session) override;

private:
    using StreamKey = std::pair<PeerSession *, std::int32_t>;
    struct Link
    {
        PeerSession *session = nullptr;
        std::int32_t controlStream = 0;
    };
    struct Work
    {
        StreamKey stream;
        bool ended = false;
    };

    void handle(const AgentEvent::Any &event);
    void scheduleTick();
    void tick();
    void checkLinks();
    void execute(const AgentCommand::List &commands);
    void execute(const AgentCommand::SendPeer &command);
    void execute(const AgentCommand::SendWork &command);
    void execute(const AgentCommand::CallBackend &command);
    void execute(const AgentCommand::CancelBackend &command);
    void execute(const AgentCommand::PauseBackend &command);
    void execute(const AgentCommand::WriteClaims &command);
    void execute(const AgentCommand::Stop &command);
    void execute(const LogRecord &record);
    std::string dump() const;
    AgentEvent::LinkId linkOf(const PeerSession *session) const;

    EventLoop &loop;
    Options options;
    AgentNode node;
    Metrics metrics;
    PeerServer peers;
    ControlServer controlServer;
    StoreClient store;
    ClaimWriter claimWriter;
    BackendCaller backend;
    std::unique_ptr<GroupMember> groupMember;
    std::unique_ptr<InstanceListReader> instanceReader;
    std::map<AgentEvent::LinkId, Link> links;
    std::map<AgentEvent::WorkId, Work> workStreams;
    std::map<StreamKey, AgentEvent::WorkId> workByStream;
    /// Work streams with messages sent since the last tick; their backlog is reported to the node.
    std::set<AgentEvent::WorkId> worksWithNewOutput;
    AgentEvent::LinkId nextLinkId = 1;
    AgentEvent::WorkId nextWorkId = 1;
    bool tickScheduled = false;
    bool isLeavingReported = false;
    std::vector<std::unique_ptr<EventLoop::Timer>> timers;
};

} // namespace Nutmegrill
