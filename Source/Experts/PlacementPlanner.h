#pragma once

#include "Core/Time.h"
#include "Experts/ExpertLoad.h"
#include "Experts/PlacementPlan.h"
#include "Experts/PlannerSettings.h"

#include <optional>
#include <vector>

namespace Nutmegrill {

/// Decides when to change an expert map and to what. The same inputs give the same plan.
class PlacementPlanner
{
public:
    /// Factors by which the ranks are slower than they should be, by rank; empty: no rank is slow.
    using Paces = std::vector<double>;

    explicit PlacementPlanner(const PlannerSettings &settings) : settings(settings) {}

    /// A plan when the predicted skew has been too high for long enough and the expected gain over
    /// the horizon is above the cost of moving.
    std::optional<PlacementPlan> consider(Instant now, const ExpertMap &map,
                                          const ExpertLoad::Tokens &tokens,
                                          const Paces &paces = {});

    /// The plan for these tokens without regard to hysteresis and cost.
    PlacementPlan plan(const ExpertMap &map, const ExpertLoad::Tokens &tokens,
                       const Paces &paces = {}) const;

    /// Slowest rank over mean, summed over the layers of a step.
    static double skew(const ExpertMap &map, const ExpertLoad::Tokens &tokens,
                       const Paces &paces = {});

private:
    PlannerSettings settings;
    Instant skewedSince = NoDeadline;
};

} // namespace Nutmegrill
