#include "Relay/RouteTable.h"

#include "Core/Hash.h"

#include <utility>

namespace Nutmegrill {

RouteTable::RouteTable(ConfigurationPtr configuration) : current(std::move(configuration))
{
    for (const Route &route : this->current->routes)
        this->hosts[route.host].emplace(route.pathPrefix, &route);
    std::map<std::string, std::uint32_t> priorities;
    for (const Route &route : this->current->routes) {
        for (const Route::Target &target : route.targets) {
            const auto [known, isNew] = priorities.emplace(target.service, route.priority);
            if (!isNew && known->second != route.priority)
                this->servicesWithPriorities.insert(target.service);
        }
    }
    for (const ClientAccount &account : this->current->clientAccounts) {
        this->accounts.emplace(account.keyHash, &account);
        for (const std::string &hash : account.furtherKeyHashes)
            this->accounts.emplace(hash, &account);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = this->hosts.find(std::string(host.substr(0, host.find(':'))));
    if (routes == this->hosts.end())
        return nullptr;
    // Every path prefix ends with a slash, so only parts that end at a slash can match.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return found->second;
    }
    return nullptr;
}

const ClientAccount *RouteTable::findAccount(std::string_view key) const
{
    const auto found = this->accounts.find(sha256Hex(key));
    return found == this->accounts.end() ? nullptr : found->second;
}

const Route::Target *RouteTable::pickTarget(const Route &route, double draw)
{
    std::uint64_t total = 0;
    for (const Route::Target &target : route.targets)
        total += target.weight;
    double rest = draw * static_cast<double>(total);
    for (const Route::Target &target : route.targets) {
        rest -= target.weight;
        if (rest < 0)
            return &target;
    }
    return nullptr;
}

} // namespace Nutmegrill
