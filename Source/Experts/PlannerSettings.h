#pragma once

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

struct PlannerSettings
{
    /// A predicted skew above this one for startAfter starts a change.
    double startSkew = 1.05;
    std::chrono::microseconds startAfter = std::chrono::minutes(5);
    /// The search stops at this skew; it lies below startSkew so that drift does not start the next
    /// change at once.
    double targetSkew = 1.02;
    std::uint64_t expertBytes = 0;
    /// Bytes a second that the weight store gives to the group.
    std::uint64_t storeRate = 1;
    /// Time for which a placement is expected to be good.
    std::chrono::microseconds horizon = std::chrono::minutes(30);
    /// Share of the step time lost while weights are loaded.
    double loadSlowdown = 0.05;
};

} // namespace Nutmegrill
