#pragma once

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

struct PlannerSettings
{
    /// A predicted skew above this one for startAfter starts a change.
    double startSkew = 1.05;
    std::chrono::microseconds startAfter = std::chrono::minutes(5);
    /// The search stops at this skew. Lower values load disproportionately more bytes; see
    /// docs/measurements/experts.md.
    double targetSkew = 1.04;
    /// A plan that stays above startSkew has to lower the skew by this much. Without this a group
    /// whose best placement is above startSkew would move weights after every observation.
    double minImprovement = 0.02;
    std::uint64_t expertBytes = 0;
    /// Bytes a second that the weight store gives to the group.
    std::uint64_t storeRate = 1;
    /// Time for which a placement is expected to be good.
    std::chrono::microseconds horizon = std::chrono::minutes(30);
    /// Share of the step time lost while weights are loaded.
    double loadSlowdown = 0.05;
    /// Limits of the search in one layer; see LayerPlacement::Limits.
    std::uint32_t loadsPerRank = 0;
    bool chains = true;
};

} // namespace Nutmegrill
