#pragma once

#include "Config/Configuration.h"
#include "Core/InstanceRecord.h"
#include "Entry/EntrySettings.h"
#include "Programs/GroupLinks.h"
#include "Programs/GroupOwner.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

class ControlServer;
class EventLoop;
class StoreClient;

/// A GroupOwner for each model group of the configuration; this entry may own any of them.
class GroupOwners
{
public:
    GroupOwners(EventLoop &loop, StoreClient &store, ControlServer &control,
                const EntrySettings &settings, const GroupOwner::Rebalancing &rebalancing);
    ~GroupOwners();

    void update(const std::vector<InstanceRecord> &instances);
    void tick(const ConfigurationPtr &configuration);

    /// \a dump with a field "groups" added.
    std::string addToDump(const std::string &dump) const;

private:
    void update(const Configuration &configuration);

    EventLoop &loop;
    StoreClient &store;
    ControlServer &control;
    GroupLinks::Identity identity;
    GroupOwner::Rebalancing rebalancing;
    ConfigurationPtr configuration;
    std::vector<InstanceRecord> instances;
    std::map<std::string, std::unique_ptr<GroupOwner>> groups;
};

} // namespace Nutmegrill
