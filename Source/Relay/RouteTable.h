#pragma once

#include "Config/Configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Nutmegrill {

/// Index of the routes and client accounts of one configuration.
class RouteTable
{
public:
    explicit RouteTable(ConfigurationPtr configuration);

    const Configuration &configuration() const { return *this->current; }

    /// The route of \a host (a port is ignored) with the longest prefix of \a path; null when there
    /// is none.
    const Route *find(std::string_view host, std::string_view path) const;

    /// Null when no client account has the key.
    const ClientAccount *findAccount(std::string_view key) const;

    /// Whether the routes to the service differ in priority.
    bool hasPriorities(const std::string &service) const
    {
        return this->servicesWithPriorities.count(service) != 0;
    }

    /// Weighted choice of a target by \a draw, a uniform number in [0, 1); null when all weights
    /// are 0.
    static const Route::Target *pickTarget(const Route &route, double draw);

private:
    ConfigurationPtr current;
    /// Routes of a host by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const Route *>> hosts;
    std::unordered_map<std::string, const ClientAccount *> accounts;
    std::set<std::string> servicesWithPriorities;
};

} // namespace Nutmegrill
