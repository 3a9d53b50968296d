#include "Programs/GroupOwners.h"

#include "Programs/ControlServer.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

GroupOwners::GroupOwners(EventLoop &loop, StoreClient &store, ControlServer &control,
                         const EntrySettings &settings, const GroupOwner::Rebalancing &rebalancing)
    : loop(loop), store(store),
      control(control), identity{settings.name, settings.failureDomain, settings.deploymentKey, {}},
      rebalancing(rebalancing)
{}

GroupOwners::~GroupOwners() = default;

void GroupOwners::update(const std::vector<InstanceRecord> &instances)
{
    this->instances = instances;
    for (const auto &[name, group] : this->groups)
        group->update(instances);
}

void GroupOwners::tick(const ConfigurationPtr &configuration)
{
    if (configuration != nullptr && configuration != this->configuration) {
        this->configuration = configuration;
        this->update(*configuration);
    }
    for (const auto &[name, group] : this->groups)
        group->tick();
}

void GroupOwners::update(const Configuration &configuration)
{
    for (const ModelGroup &declared : configuration.modelGroups) {
        // An existing group is kept, because callbacks of open store calls refer to it. A changed
        // declaration takes effect when the entry restarts.
        if (this->groups.count(declared.name) != 0)
            continue;
        GroupLinks::Identity own = this->identity;
        own.group = declared.name;
        auto group = std::make_unique<GroupOwner>(this->loop, this->store, own, declared,
                                                  this->rebalancing);
        group->update(this->instances);
        this->control.addHandler("POST /groups/" + declared.name + "/map",
                                 [row = group.get()](const HttpServer::Request &request) {
                                     return row->acceptMap(request);
                                 });
        this->groups[declared.name] = std::move(group);
    }
}

std::string GroupOwners::addToDump(const std::string &dump) const
{
    auto document = nlohmann::json::parse(dump, nullptr, false);
    if (!document.is_object())
        return dump;
    document["groups"] = nlohmann::json::array();
    for (const auto &[name, group] : this->groups)
        document["groups"].push_back(group->describe());
    return document.dump(2);
}

} // namespace Nutmegrill
