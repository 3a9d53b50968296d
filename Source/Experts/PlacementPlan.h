#pragma once

#include "Experts/ExpertMap.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// A planned map with its expected gain and cost.
struct PlacementPlan
{
    ExpertMap map;
    /// Slowest rank over mean, summed over the layers of a step.
    double skewBefore = 1;
    double skewAfter = 1;
    /// Experts that ranks have to load, and their size.
    std::uint64_t loads = 0;
    std::uint64_t bytes = 0;
    /// Expected saving over the horizon, and the time lost by loading weights beside the steps.
    std::chrono::microseconds gain{0};
    std::chrono::microseconds cost{0};
};

} // namespace Nutmegrill
