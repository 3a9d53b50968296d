#include "Membership/SubsetSelector.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Nutmegrill {

std::vector<std::string> SubsetSelector::select(std::string_view entry, std::string_view service,
                                                const std::vector<InstanceRecord> &instances) const
{
    using Weighted = std::pair<std::uint64_t, std::string>;
    std::map<std::string, std::vector<Weighted>> domains;
    for (const InstanceRecord &instance : instances) {
        if (instance.role == InstanceRecord::Role::Agent && instance.service == service
            && !instance.leaving)
            domains[instance.failureDomain].emplace_back(rendezvousWeight(entry, instance.name),
                                                         instance.name);
    }
    std::size_t rounds = 0;
    for (auto &[domain, agents] : domains) {
        std::sort(agents.begin(), agents.end(), std::greater<>());
        rounds = std::max(rounds, agents.size());
    }
    std::vector<std::string> selected;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (const auto &[domain, agents] : domains) {
            if (round < agents.size() && selected.size() < this->subsetSize)
                selected.push_back(agents[round].second);
        }
    }
    std::sort(selected.begin(), selected.end());
    return selected;
}

} // namespace Nutmegrill
