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

/// An entry's part in the ownership of one model group: competes for the owner key and runs a
/// MapChangeOwner for as long as it holds it.
class GroupOwner
{
public:
    struct Rebalancing
    {
        /// A skew has to last this long before a change; 0 turns rebalancing by load off.
        std::chrono::seconds startAfter{0};
        /// Bytes a second that the weight store gives to the group.
        std::uint64_t weightsRate = 1;
    };

    GroupOwner(EventLoop &loop, StoreClient &store, const GroupLinks::Identity &identity,
               ModelGroup group, const Rebalancing &rebalancing);
    ~GroupOwner();

    void follow(const std::vector<InstanceRecord> &instances);
    void tick();

    /// POST /groups/<group>/map with {"slots": [layer][rank][expert]}: the owner changes to this
    /// map. The answer does not wait for the change.
    ControlServer::Answer acceptMap(const HttpServer::Request &request);

    const ModelGroup &declaration() const { return this->group; }
    nlohmann::json describe() const;

private:
    void execute(const OwnerLease::Orders &orders);
    void execute(const OwnerLease::ReadKey &order);
    void execute(const OwnerLease::GrantLease &order);
    void execute(const OwnerLease::ClaimKey &order);
    void execute(const OwnerLease::KeepLease &order);
    void execute(const OwnerLease::RevokeLease &order);
    std::string key() const;
    void noteHolder(const std::optional<std::string> &value);

    // Whether this process is the owner now. Stops or starts the MapChangeOwner accordingly.
    bool checkOwnership();
    void receive(const std::string &name, const std::string &document);
    void proceed();
    void noteResult();
    void askForLoad();
    void noteLoad(std::uint32_t rank, LoadMessage::Tokens tokens);
    // Adds the loads of all ranks and asks the planner for a better map.
    void considerLoad();
    void carryOut(const MapChangeOrder::List &orders);
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
    /// Map that an operator has asked for and that is not in force yet.
    std::optional<GroupPlacement::Slots> wanted;
    unsigned attempts = 0;
    bool proposed = false;
    bool working = false;
    Instant surveyAt;
    std::string lastResult;
    Rebalancing rebalancing;
    ExpertLoad load;
    PlacementPlanner planner;
    /// Answers of the ranks to the last question.
    std::map<std::uint32_t, LoadMessage::Tokens> loads;
    Instant askLoadAt;
    double skew = 0;
};

} // namespace Nutmegrill
