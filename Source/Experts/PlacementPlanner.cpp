#include "Experts/PlacementPlanner.h"

#include "Experts/LayerPlacement.h"

#include <chrono>
#include <vector>

namespace Nutmegrill {

double PlacementPlanner::skew(const ExpertMap &map, const ExpertLoad::Tokens &tokens,
                              const Paces &paces)
{
    double slowest = 0;
    double mean = 0;
    for (std::size_t layer = 0; layer < tokens.size(); ++layer) {
        const LayerPlacement placement(map.slots[layer], tokens[layer], {}, paces);
        slowest += placement.slowest();
        mean += placement.mean();
    }
    return mean > 0 ? slowest / mean : 1;
}

namespace {

// Improves the layer with the largest gap between the slowest rank and the mean, until the skew
// summed over the layers is at most \a target.
void search(std::vector<LayerPlacement> &layers, double target)
{
    std::vector<bool> exhausted(layers.size(), false);
    while (true) {
        double slowest = 0;
        double mean = 0;
        std::size_t worst = layers.size();
        for (std::size_t layer = 0; layer < layers.size(); ++layer) {
            slowest += layers[layer].slowest();
            mean += layers[layer].mean();
            if (!exhausted[layer]
                && (worst == layers.size()
                    || layers[layer].slowest() - layers[layer].mean()
                               > layers[worst].slowest() - layers[worst].mean()))
                worst = layer;
        }
        if (slowest <= target * mean || worst == layers.size())
            return;
        exhausted[worst] = !layers[worst].improveOnce();
    }
}

} // namespace

PlacementPlan PlacementPlanner::plan(const ExpertMap &map, const ExpertLoad::Tokens &tokens,
                                     const Paces &paces) const
{
    PlacementPlan plan;
    plan.map = map;
    ++plan.map.epoch;
    std::vector<LayerPlacement> layers;
    for (std::size_t layer = 0; layer < tokens.size(); ++layer)
        layers.emplace_back(
                map.slots[layer], tokens[layer],
                LayerPlacement::Limits{this->settings.loadsPerRank, this->settings.chains}, paces);
    search(layers, this->settings.targetSkew);
    for (std::size_t layer = 0; layer < tokens.size(); ++layer) {
        plan.map.slots[layer] = layers[layer].slots();
        plan.loads += LayerPlacement::countLoads(map.slots[layer], layers[layer].slots());
    }
    plan.bytes = plan.loads * this->settings.expertBytes;
    plan.skewBefore = skew(map, tokens, paces);
    plan.skewAfter = skew(plan.map, tokens, paces);
    const double savedShare = 1 - plan.skewAfter / plan.skewBefore;
    const std::chrono::duration<double, std::micro> gain = this->settings.horizon * savedShare;
    const std::chrono::duration<double> loading(static_cast<double>(plan.bytes)
                                                / static_cast<double>(this->settings.storeRate));
    plan.gain = std::chrono::duration_cast<std::chrono::microseconds>(gain);
    plan.cost = std::chrono::duration_cast<std::chrono::microseconds>(
            loading * this->settings.loadSlowdown);
    return plan;
}

std::optional<PlacementPlan> PlacementPlanner::consider(Instant now, const ExpertMap &map,
                                                        const ExpertLoad::Tokens &tokens,
                                                        const Paces &paces)
{
    if (skew(map, tokens, paces) <= this->settings.startSkew) {
        this->skewedSince = NoDeadline;
        return std::nullopt;
    }
    if (this->skewedSince == NoDeadline)
        this->skewedSince = now;
    if (now - this->skewedSince < this->settings.startAfter)
        return std::nullopt;
    PlacementPlan plan = this->plan(map, tokens, paces);
    const bool improvesEnough =
            plan.skewAfter <= this->settings.startSkew
            || plan.skewBefore - plan.skewAfter >= this->settings.minImprovement;
    if (plan.loads == 0 || plan.gain <= plan.cost || !improvesEnough)
        return std::nullopt;
    this->skewedSince = NoDeadline;
    return plan;
}

} // namespace Nutmegrill
