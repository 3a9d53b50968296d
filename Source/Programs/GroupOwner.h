#pragma once

#include "Config/ModelGroup.h"
#include "Core/InstanceRecord.h"
#include "Experts/ExpertLoad.h"
#include "Experts/MapChangeOwner.h"
#include "Experts/PlacementPlanner.h"
#include "Groups/GroupPlacement.h"
#include "Groups/GroupRoster.h"
#include "Groups/LoadMessage.h"
#include "Groups/OwnerLease.h"
#include "Net/EventLoop.h"
#include "Programs/ControlServer.h"
#include "Programs/GroupLinks.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

class StoreClient;

/// I/O layer for the ownership of one model group: an entry competes for the owner key in the store
/// and runs a MapChangeOwner while it holds the key.
class GroupOwner
{
public:
    struct Rebalancing
    {
        /// Time that a skew must last before the map is changed; 0 disables rebalancing by load.
        std::chrono::seconds startAfter{0};
        /// Bytes per second that the weight store gives to the group.
        std::uint64_t weightsRate = 1;
    };

    GroupOwner(EventLoop &loop, StoreClient &store, const GroupLinks::Identity &identity,
               ModelGroup group, const Rebalancing &rebalancing);
    ~GroupOwner();

    void update(const std::vector<InstanceRecord> &instances);
    void tick();

    /// POST /groups/<group>/map with {"slots": [layer][rank][expert]}: the owner changes to this
    /// map. Answers before the change is made.
    ControlServer::Answer acceptMap(const HttpServer::Request &request);

    const ModelGroup &declaration() const { return this->group; }
    nlohmann::json describe() const;

private:
    void execute(const OwnerLease::Commands &commands);
    void execute(const OwnerLease::ReadKey &command);
    void execute(const OwnerLease::GrantLease &command);
    void execute(const OwnerLease::ClaimKey &command);
    void execute(const OwnerLease::KeepLease &command);
    void execute(const OwnerLease::RevokeLease &command);
    std::string ownerKey() const;
    void updateHolder(const std::optional<std::string> &value);

    // Returns whether this process is the owner, and starts or stops the MapChangeOwner
    // accordingly.
    bool checkOwnership();
    void receive(const std::string &name, const std::string &document);
    void startNextAction();
    void processResult();
    void requestLoad();
    void addRankLoad(std::uint32_t rank, LoadMessage::Tokens tokens);
    // Adds the loads of all ranks and asks the planner for a better map.
    void planRebalancing();
    void execute(const MapChangeCommand::List &commands);
    void log(std::uint32_t number, bool warning, const std::string &text) const;

    EventLoop &loop;
    StoreClient &store;
    GroupLinks::Identity identity;
    ModelGroup group;
    OwnerLease lease;
    GroupRoster roster;
    GroupLinks links;
    std::unique_ptr<MapChangeOwner> owner;
    std::uint64_t fence = 0;
    /// Process that held the key when it was last read.
    std::string holder;
    /// Map requested by an operator or the planner that is not in force yet.
    std::optional<GroupPlacement::Slots> requestedSlots;
    unsigned changeAttempts = 0;
    bool isChangeOpen = false;
    bool isActionOpen = false;
    Instant nextSurveyAt;
    std::string lastResult;
    Rebalancing rebalancing;
    ExpertLoad expertLoad;
    PlacementPlanner planner;
    /// Answers to the last load request, by rank.
    std::map<std::uint32_t, LoadMessage::Tokens> rankLoads;
    Instant nextLoadRequestAt;
    double skew = 0;
};

} // namespace Nutmegrill
