#pragma once

#include "Config/ModelGroup.h"
#include "Core/InstanceRecord.h"
#include "Experts/MapChangeOwner.h"
#include "Groups/GroupPlacement.h"
#include "Groups/GroupRoster.h"
#include "Groups/OwnerLease.h"
#include "Net/EventLoop.h"
#include "Programs/ControlServer.h"
#include "Programs/GroupLinks.h"

#include <cstdint>
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
    GroupOwner(EventLoop &loop, StoreClient &store, const GroupLinks::Identity &identity,
               ModelGroup group);
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
};

} // namespace Nutmegrill
