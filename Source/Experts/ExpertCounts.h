#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Sample of the expert choices of one rank, sent to the owner of the group.
struct ExpertCounts
{
    std::string group;
    std::uint32_t rank = 0;
    std::uint64_t epoch = 0;
    /// How often the rank's requests chose each expert in the sampled time, layer after layer.
    std::vector<std::uint64_t> counts;
};

} // namespace Nutmegrill
