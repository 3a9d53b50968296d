#include "Membership/RelaySelector.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace Nutmegrill {

namespace {

// Two, so that the failure domain still has a relay that reads the store if one fails.
constexpr std::size_t RelaysPerDomain = 2;

} // namespace

std::vector<std::string> RelaySelector::relaysOf(std::string_view failureDomain,
                                                 const std::vector<InstanceRecord> &instances)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    for (const InstanceRecord &instance : instances) {
        if (instance.role == InstanceRecord::Role::Entry && !instance.leaving
            && instance.failureDomain == failureDomain)
            weighted.emplace_back(rendezvousWeight(failureDomain, instance.name), instance.name);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> relays;
    for (std::size_t rank = 0; rank < std::min(RelaysPerDomain, weighted.size()); ++rank)
        relays.push_back(weighted[rank].second);
    return relays;
}

bool RelaySelector::isRelay(const std::string &entry, std::string_view failureDomain,
                            const std::vector<InstanceRecord> &instances)
{
    const std::vector<std::string> relays = relaysOf(failureDomain, instances);
    return std::find(relays.begin(), relays.end(), entry) != relays.end();
}

} // namespace Nutmegrill
