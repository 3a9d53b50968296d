#pragma once

#include "Entry/EntryNode.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Net/Metrics.h"
#include "Net/PeerObserver.h"
#include "Net/StoreClient.h"
#include "Programs/CallerGateway.h"
#include "Programs/ConfigurationReader.h"
#include "Programs/ControlServer.h"
#include "Programs/GroupOwner.h"
#include "Programs/InstanceListReader.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

class GroupOwners;
class TakeOutWriter;

/// I/O layer of the entry process: passes events to an EntryNode and executes its commands on the
/// callers' connections, the peer links to agents and the store.
class EntryShell : public PeerObserver
{
public:
    struct Options
    {
        EntrySettings node;
        std::string listenAddress;
        std::string controlAddress;
        std::string storeAddress;
        std::string instancesAddress;
        GroupOwner::Rebalancing rebalancing;
    };

    EntryShell(EventLoop &loop, const Options &options);
    ~EntryShell() override;

    /// Empty when the process can serve, otherwise the reason why it cannot.
    std::string startError() const;

    /// Runs until the node has stopped.
    void run();

    void peerConnected(PeerSession &session) override;
    void peerStreamOpened(PeerSession &session, std::int32_t stream,
                          std::string_view path) override;
    void peerMessage(PeerSession &session, std::int32_t stream, std::string message) override;
    void peerStreamClosed(PeerSession &session, std::int32_t stream, StreamEnd end) override;
    void peerDisconnected(PeerSession &session) override;

private:
    struct Link
    {
        std::unique_ptr<PeerSession> session;
        std::int32_t controlStream = 0;
        bool isClosing = false;
    };
    struct Caller
    {
        std::string requestId;
        /// The caller asked for server-sent events.
        bool isEventStream = false;
        bool isHeadSent = false;
        WorkMessage::Head head;
        std::string body;
        Instant arrivedAt;
        Instant lastEventAt;
        std::uint64_t bufferedBytes = 0;
    };
    struct Work
    {
        PeerSession *session = nullptr;
        std::int32_t stream = 0;
    };
    using StreamKey = std::pair<PeerSession *, std::int32_t>;

    void serve(const HttpServer::Request &request);
    void serveEntries(const HttpServer::Request &request);
    void serveModels(const HttpServer::Request &request);
    void beginReply(EntryCommand::CallerId id, Caller &caller);
    void replyFailure(EntryCommand::CallerId caller, const std::string &requestId,
                      const WorkMessage::Failure &failure);
    ControlServer::Answer acceptTakeOut(const HttpServer::Request &request);
    void addControlPaths();

    void handle(const EntryEvent::Any &event);
    void scheduleTick();
    void tick();
    void checkLinks();
    void execute(const EntryCommand::List &commands);
    void execute(const EntryCommand::OpenLink &command);
    void execute(const EntryCommand::CloseLink &command);
    void execute(const EntryCommand::SendPeer &command);
    void execute(const EntryCommand::StartWork &command);
    void execute(const EntryCommand::CancelWork &command);
    void execute(const EntryCommand::PauseWork &command);
    void execute(const EntryCommand::ReplyHead &command);
    void execute(const EntryCommand::ReplyEvent &command);
    void execute(const EntryCommand::ReplyEnd &command);
    void execute(const EntryCommand::ReplyFailure &command);
    void execute(const EntryCommand::ReadStore &command);
    void execute(const EntryCommand::StoreTakeOut &command);
    void execute(const EntryCommand::Stop &command);
    void execute(const LogRecord &record);
    std::string dump() const;
    std::string agentOf(const PeerSession &session) const;

    EventLoop &loop;
    Options options;
    EntryNode node;
    Metrics metrics;
    HttpServer callerServer;
    ControlServer controlServer;
    StoreClient store;
    ConfigurationReader configurationReader;
    CallerGateway gateway;
    InstanceListReader instanceReader;
    std::unique_ptr<TakeOutWriter> takeOutWriter;
    std::unique_ptr<GroupOwners> groupOwners;
    std::map<std::string, Link> links;
    std::vector<std::unique_ptr<PeerSession>> closedSessions;
    std::map<EntryCommand::CallerId, Caller> callers;
    std::map<EntryCommand::WorkId, Work> workStreams;
    std::map<StreamKey, EntryCommand::WorkId> workByStream;
    bool tickScheduled = false;
    std::vector<std::unique_ptr<EventLoop::Timer>> timers;
};

} // namespace Nutmegrill
