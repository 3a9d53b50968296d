#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Which experts each rank holds in each layer. All ranks of a model group use the same map in a
/// step.
struct ExpertMap
{
    /// Rises with each committed change.
    std::uint64_t epoch = 0;
    /// slots[layer][rank] lists the experts that the rank holds in that layer.
    std::vector<std::vector<std::vector<std::uint32_t>>> slots;

    bool operator==(const ExpertMap &) const = default;
};

/// Canonical text of a map: equal maps give equal text.
std::string describeMap(const ExpertMap &map);

} // namespace Nutmegrill
