#include "Experts/PlacementPlanner.h"

#include "Experts/LayerPlacement.h"

#include <chrono>

namespace Nutmegrill {

double PlacementPlanner::skew(const ExpertMap &map, const ExpertLoad::Tokens &tokens)
{
    double slowest = 0;
    double mean = 0;
    for (std::size_t layer = 0; layer < tokens.size(); ++layer) {
        const LayerPlacement placement(map.slots[layer], tokens[layer]);
        slowest += placement.slowest();
        mean += placement.mean();
    }
    return mean > 0 ? slowest / mean : 1;
}

PlacementPlan PlacementPlanner::plan(const ExpertMap &map, const ExpertLoad::Tokens &tokens) const
{
    PlacementPlan plan;
    plan.map = map;
    ++plan.map.epoch;
    for (std::size_t layer = 0; layer < tokens.size(); ++layer) {
        LayerPlacement placement(map.slots[layer], tokens[layer]);
        if (!placement.improve(this->settings.targetSkew))
            continue;
        plan.map.slots[layer] = placement.slots();
        plan.loads += LayerPlacement::countLoads(map.slots[layer], placement.slots());
    }
    plan.bytes = plan.loads * this->settings.expertBytes;
    plan.skewBefore = skew(map, tokens);
    plan.skewAfter = skew(plan.map, tokens);
    const double share = 1 - plan.skewAfter / plan.skewBefore;
    const std::chrono::duration<double, std::micro> gain = this->settings.horizon * share;
    const std::chrono::duration<double> loading(static_cast<double>(plan.bytes)
                                                / static_cast<double>(this->settings.storeRate));
    plan.gain = std::chrono::duration_cast<std::chrono::microseconds>(gain);
    plan.cost = std::chrono::duration_cast<std::chrono::microseconds>(
            loading * this->settings.loadSlowdown);
    return plan;
}

std::optional<PlacementPlan> PlacementPlanner::consider(Instant now, const ExpertMap &map,
                                                        const ExpertLoad::Tokens &tokens)
{
    if (skew(map, tokens) <= this->settings.startSkew) {
        this->skewedSince = NoDeadline;
        return std::nullopt;
    }
    if (this->skewedSince == NoDeadline)
        this->skewedSince = now;
    if (now - this->skewedSince < this->settings.startAfter)
        return std::nullopt;
    PlacementPlan plan = this->plan(map, tokens);
    if (plan.loads == 0 || plan.gain <= plan.cost)
        return std::nullopt;
    this->skewedSince = NoDeadline;
    return plan;
}

} // namespace Nutmegrill
