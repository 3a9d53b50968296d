#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// What an entry's decision logic is told at start.
struct EntrySettings
{
    std::string name;
    std::string failureDomain;
    std::string deploymentKey;
    std::uint64_t seed = 1;
    /// Agents of one service that an entry links to.
    std::uint32_t subsetSize = 24;
};

} // namespace Nutmegrill
