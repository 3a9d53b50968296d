#pragma once

#include "Config/CallerLimits.h"
#include "Config/ClientAccount.h"
#include "Config/ModelGroup.h"
#include "Config/Place.h"
#include "Config/Route.h"
#include "Config/ServiceDeclaration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// One version of the declared objects. Immutable once published; shared by ConfigurationPtr.
struct Configuration
{
    std::uint64_t version = 0;
    std::string changeId;
    std::string author;
    std::vector<Place> places;
    std::vector<ServiceDeclaration> services;
    std::vector<ModelGroup> modelGroups;
    std::vector<ClientAccount> clientAccounts;
    /// Paths whose requests are relayed to services unchanged; empty when callers only use the
    /// native API.
    std::vector<Route> routes;
    CallerLimits callerLimits;

    /// The find functions return null when there is no such object.
    const ServiceDeclaration *findService(std::string_view name) const;
    const ServiceDeclaration *findModel(std::string_view model) const;
    const ClientAccount *findAccount(std::string_view name) const;
    const ClientAccount *findAccountByKeyHash(std::string_view keyHash) const;
    const FailureDomainState *findFailureDomain(std::string_view name) const;

    bool operator==(const Configuration &) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Nutmegrill
