#pragma once

#include "Config/Configuration.h"
#include "Core/InstanceRecord.h"
#include "Experts/MapChangeMember.h"
#include "Groups/GroupRoster.h"
#include "Net/EventLoop.h"
#include "Programs/GroupLinks.h"
#include "Programs/RankEngine.h"
#include "Programs/WeightLoader.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// I/O layer around the MapChangeMember of an agent in a model group: links to the other ranks and
/// to owners, the weight store and the engine.
///
/// Messages are processed one at a time, each together with its commands to the engine. A vote is
/// therefore sent only after the engine is held, and a command of an earlier decision never reaches
/// the engine after one of a later decision. The engine gets only decisions of the MapChangeMember,
/// which checks fencing tokens; this also protects engines that ignore them.
class GroupMember
{
public:
    struct Options
    {
        /// Process, failure domain, deployment key and group.
        GroupLinks::Identity identity;
        std::uint64_t incarnation = 0;
        std::string engineAddress;
        /// Empty: no weights are loaded.
        std::string weightsAddress;
    };

    GroupMember(EventLoop &loop, const Options &options);
    ~GroupMember();

    /// The member starts once the configuration and the instance list name all ranks.
    void update(const ConfigurationPtr &configuration);
    void update(const std::vector<InstanceRecord> &instances);

    // Streams on GroupLinks::StreamPath that other processes open.
    void streamOpened(PeerSession &session, std::int32_t stream);
    /// Returns false when \a stream is not a group stream.
    bool streamMessage(PeerSession &session, std::int32_t stream, const std::string &message);
    bool streamClosed(PeerSession &session, std::int32_t stream);

    /// \a dump with a field "group" added.
    std::string addToDump(const std::string &dump) const;

private:
    using Peer = MapMessage::Peer;
    using StreamKey = std::pair<PeerSession *, std::int32_t>;

    struct InboundStream
    {
        /// Empty until the peer has authenticated with the deployment key.
        std::string process;
        std::uint32_t number = 0;
    };
    struct Received
    {
        Peer from = 0;
        MapMessage::Any message;
    };
    struct Staged
    {
        MapChangeId change;
        bool loaded = false;
    };
    struct Poll
    {};
    using InboxItem = std::variant<Received, Staged, Poll>;
    using Callback = std::function<void()>;

    void startMember();
    void holdEngineAtStart();
    void tick();
    void enqueue(InboxItem item);
    void processNext();
    void prepare(const InboxItem &item, const Callback &next);
    void apply(const InboxItem &item);
    void finishItem();
    void execute(const MapChangeCommand::List &commands);
    void execute(const MapChangeCommand::Send &command);
    void execute(const MapChangeCommand::StageWeights &command);
    void execute(const MapChangeCommand::UseMap &command);

    // Sends the expert load of the rank to the process that requested it.
    void reportLoad(const StreamKey &stream);

    // Brings the engine into the state that the member requires.
    void synchronize(const Callback &next);
    void synchronizeMap(const Callback &next);
    void sendMap(const RankEngine::State &state, const Callback &next);
    void retrySynchronize(const Callback &next);
    void readEngine(const std::function<void()> &next);
    void continueIfAccepted(bool accepted, const char *description, const Callback &next,
                            const Callback &again);
    bool wouldArm(const Received &item) const;
    MapMessage::MapInfo queryMapInfo() const;
    std::uint64_t engineFence(const MapMessage::MapInfo &info) const;
    Peer peerOf(const InboundStream &inbound) const;
    void log(std::uint32_t number, bool warning, const std::string &text) const;

    EventLoop &loop;
    Options options;
    GroupLinks links;
    WeightLoader weights;
    ConfigurationPtr configuration;
    std::vector<InstanceRecord> instances;
    GroupRoster roster;
    std::optional<ModelGroup> group;
    std::uint32_t rank = 0;
    std::unique_ptr<RankEngine> engine;
    std::unique_ptr<MapChangeMember> member;
    std::map<StreamKey, InboundStream> inboundStreams;
    std::uint32_t nextInboundNumber = 0;
    std::deque<InboxItem> inbox;
    bool isProcessing = false;
    bool isStarted = false;
    bool isPollQueued = false;
    /// State of the engine after the last read or accepted command.
    RankEngine::State engineState;
    std::uint64_t armedStep = 0;
    /// Map that was last sent to the engine; 0: none since the agent started.
    std::uint64_t engineEpoch = 0;
    std::uint64_t engineFounding = 0;
    Instant nextPollAt;
    std::unique_ptr<EventLoop::Timer> timer;
};

} // namespace Nutmegrill
