#pragma once

#include "Core/Time.h"
#include "Experts/ExpertLoad.h"
#include "Experts/PlacementPlan.h"
#include "Experts/PlannerSettings.h"

#include <optional>

namespace Nutmegrill {

/// Decides when to change an expert map and to what. The same inputs give the same plan.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(const PlannerSettings &settings) : settings(settings) {}

    /// A plan when the predicted skew has been too high for long enough and the expected gain over
    /// the horizon is above the cost of moving.
    std::optional<PlacementPlan> consider(Instant now, const ExpertMap &map,
                                          const ExpertLoad::Tokens &tokens);

    /// The plan for these tokens without regard to hysteresis and cost.
    PlacementPlan plan(const ExpertMap &map, const ExpertLoad::Tokens &tokens) const;

    /// Slowest rank over mean, summed over the layers of a step.
    static double skew(const ExpertMap &map, const ExpertLoad::Tokens &tokens);

private:
    PlannerSettings settings;
    Instant skewedSince = NoDeadline;
};

} // namespace Nutmegrill
