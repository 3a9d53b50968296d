#pragma once

#include "Entry/EntrySwitches.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Nutmegrill {

/// What an entry's decision logic is told at start.
struct EntrySettings
{
    enum class RoutePolicy { PrefixAffinity, RoundRobin, LeastReported, PowerOfTwo };

    std::string name;
    std::string failureDomain;
    std::string deploymentKey;
    std::uint64_t seed = 1;
    /// Agents of one service that an entry links to.
    std::uint32_t subsetSize = 24;
    RoutePolicy routePolicy = RoutePolicy::PrefixAffinity;
    std::chrono::seconds addressLifetime{10};
    /// Bytes that one stream may hold for a slow reader before its work is paused, and bytes of the
    /// whole process. What is on its way when the pause takes effect (a stream window of the peer
    /// link and one part) comes on top; together they stay below the budget of 256 KiB a stream.
    std::uint64_t streamBufferBytes = 96U << 10U;
    std::uint64_t processBufferBytes = 64U << 20U;
    std::chrono::seconds stallLimit{30};
    EntrySwitches switches;
};

} // namespace Nutmegrill
