#pragma once

#include "Entry/EntrySwitches.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Start parameters of an entry's decision logic.
struct EntrySettings
{
    enum class RoutePolicy { PrefixAffinity, RoundRobin, LeastReported, PowerOfTwo };

    std::string name;
    std::string failureDomain;
    std::string deploymentKey;
    std::uint64_t seed = 1;
    /// Maximum number of agents of one service that an entry connects to.
    std::uint32_t subsetSize = 24;
    RoutePolicy routePolicy = RoutePolicy::PrefixAffinity;
    std::chrono::seconds addressLifetime{10};
    /// Bytes that may be buffered for a slow reader, per stream and for the whole process, before
    /// the work is paused. Bytes in transit when the pause takes effect (a stream window of the
    /// peer link and one part) are added to this; the sum stays below the budget of 256 KiB a
    /// stream.
    std::uint64_t streamBufferBytes = 96U << 10U;
    std::uint64_t processBufferBytes = 64U << 20U;
    /// A reader that reads nothing for this long is disconnected when buffer memory is short.
    std::chrono::seconds stallLimit{30};
    EntrySwitches switches;
};

} // namespace Nutmegrill
