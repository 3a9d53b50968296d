#include "Experts/LayerPlacement.h"
#include "Experts/MapGroup.h"
#include "Experts/PlacementPlanner.h"
#include "Measure/ExpertDrift.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace Nutmegrill {

namespace {

// One observation and one decision per interval.
constexpr std::chrono::minutes Interval(5);
constexpr int Intervals = 288;
// Placements are planned for the load predicted this long after the last observation.
constexpr std::chrono::minutes PredictionHorizon(20);

struct Deployment
{
    std::string name;
    std::uint64_t seed = 0;
    std::uint32_t ranks = 0;
    std::uint32_t experts = 0;
    std::uint32_t layers = 0;
    std::uint32_t slotsPerRank = 0;
    std::uint64_t expertBytes = 0;
    std::uint64_t storeRate = 0;
    double tokensPerInterval = 0;
};

struct PolicyResult
{
    std::string deployment;
    std::string policy;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double mean = 0;
    std::uint64_t bytes = 0;
    int changes = 0;
    double longestPlanMilliseconds = 0;
};

PlannerSettings settingsOf(const Deployment &deployment)
{
    PlannerSettings settings;
    settings.expertBytes = deployment.expertBytes;
    settings.storeRate = deployment.storeRate;
    return settings;
}

enum class Policy { Static, Always, Nutmegrill, Optimum };

// Returns the map for the next interval. The optimum plans from the previous map with the tokens of
// the interval itself, which no real policy knows in advance.
ExpertMap chooseMap(Policy policy, PlacementPlanner &planner, const PlacementPlanner &eager,
                    Instant now, const ExpertMap &map, const ExpertLoad::Tokens &smoothed,
                    const ExpertLoad::Tokens &observed)
{
    if (policy == Policy::Static)
        return map;
    if (policy == Policy::Always)
        return eager.plan(map, smoothed).map;
    if (policy == Policy::Optimum)
        return eager.plan(map, observed).map;
    const auto plan = planner.consider(now, map, smoothed);
    return plan.has_value() ? plan->map : map;
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

PolicyResult measure(const Deployment &deployment, Policy policy, const std::string &name)
{
    ExpertDrift drift(deployment.seed, deployment.layers, deployment.experts);
    ExpertMap map;
    map.slots.assign(deployment.layers, LayerPlacement::even(deployment.ranks, deployment.experts,
                                                             deployment.slotsPerRank));
    PlannerSettings settings = settingsOf(deployment);
    PlacementPlanner planner(settings);
    settings.targetSkew = 1;
    const PlacementPlanner eager(settings);
    ExpertLoad load(std::chrono::minutes(5), std::chrono::minutes(30));
    PolicyResult result{deployment.name, name, 0, 0, 0, 0, 0, 0, 0};
    std::vector<double> skews;
    for (int interval = 0; interval < Intervals; ++interval) {
        const Instant now = Instant() + interval * Interval;
        const auto tokens = drift.sample(static_cast<double>(interval) / Intervals,
                                         deployment.tokensPerInterval);
        if (policy == Policy::Optimum)
            map = chooseMap(policy, planner, eager, now, map, load.predict(PredictionHorizon),
                            tokens);
        skews.push_back(PlacementPlanner::skew(map, tokens));
        result.mean += skews.back() / Intervals;
        load.observe(now, tokens);
        if (policy == Policy::Optimum)
            continue;
        const auto start = std::chrono::steady_clock::now();
        const ExpertMap next = chooseMap(policy, planner, eager, now, map,
                                         load.predict(PredictionHorizon), tokens);
        const std::chrono::duration<double, std::milli> spent =
                std::chrono::steady_clock::now() - start;
        result.longestPlanMilliseconds = std::max(result.longestPlanMilliseconds, spent.count());
        std::uint64_t loads = 0;
        for (std::size_t layer = 0; layer < map.slots.size(); ++layer)
            loads += LayerPlacement::countLoads(map.slots[layer], next.slots[layer]);
        result.bytes += loads * deployment.expertBytes;
        result.changes += loads != 0 ? 1 : 0;
        map = next;
    }
    std::sort(skews.begin(), skews.end());
    result.p50 = quantile(skews, 0.50);
    result.p95 = quantile(skews, 0.95);
    result.p99 = quantile(skews, 0.99);
    return result;
}

std::vector<Deployment> deployments()
{
    constexpr std::uint64_t Megabyte = 1000000;
    std::vector<Deployment> list;
    for (const double loadFactor : {1.0, 10.0}) {
        const std::string suffix = loadFactor == 1.0 ? "" : " x10";
        list.push_back({"gleamway" + suffix, 101, 8, 16, 4, 3, 50 * Megabyte, 1000 * Megabyte,
                        200000 * loadFactor});
        list.push_back({"jordanian" + suffix, 202, 8, 16, 4, 3, 50 * Megabyte, 1000 * Megabyte,
                        100000 * loadFactor});
    }
    list.push_back({"128 ranks", 303, 128, 64, 4, 2, 50 * Megabyte, 10000 * Megabyte, 10000000});
    return list;
}

// Returns the share of the static placement's excess skew that is removed per terabyte moved.
double removedPerTerabyte(const PolicyResult &result, const PolicyResult &staticResult)
{
    const double removed = (staticResult.mean - result.mean) / (staticResult.mean - 1);
    return result.bytes == 0 ? 0 : removed / (static_cast<double>(result.bytes) / 1e12);
}

void print(const PolicyResult &result, const PolicyResult &staticResult, std::ostream &json)
{
    std::cout << std::left << std::setw(16) << result.deployment << std::setw(12) << result.policy
              << std::right << std::fixed << std::setprecision(4) << std::setw(9) << result.p50
              << std::setw(9) << result.p95 << std::setw(9) << result.p99 << std::setprecision(2)
              << std::setw(11) << static_cast<double>(result.bytes) / 1e9 << std::setw(9)
              << result.changes << std::setw(12) << removedPerTerabyte(result, staticResult)
              << std::setw(10) << result.longestPlanMilliseconds << std::endl;
    json << "{\"deployment\":\"" << result.deployment << "\",\"policy\":\"" << result.policy
         << "\",\"skew_p50\":" << result.p50 << ",\"skew_p95\":" << result.p95
         << ",\"skew_p99\":" << result.p99 << ",\"skew_mean\":" << result.mean
         << ",\"bytes\":" << result.bytes << ",\"changes\":" << result.changes << "}";
}

// Returns the number of steps that one map change delays in a simulated group without faults.
std::uint64_t stepsHeldByChange(std::uint32_t ranks)
{
    MapGroup group(ranks, 7,
                   {std::chrono::microseconds(200), std::chrono::microseconds(3000), 0, 0});
    group.addOwner(10);
    group.run(std::chrono::seconds(2));
    return group.isSettled() ? group.stepsHeld() : ~std::uint64_t(0);
}

void measureAll(const std::string &jsonPath, const std::string &filter)
{
    std::ofstream json(jsonPath);
    json << "[";
    std::cout << "deployment      policy            p50      p95      p99   moved GB  changes"
                 "  removed/TB  plan ms\n";
    bool first = true;
    for (const Deployment &deployment : deployments()) {
        if (deployment.name.find(filter) == std::string::npos)
            continue;
        const PolicyResult staticResult = measure(deployment, Policy::Static, "static");
        for (const PolicyResult &result :
             {staticResult, measure(deployment, Policy::Always, "always"),
              measure(deployment, Policy::Nutmegrill, "nutmegrill"),
              measure(deployment, Policy::Optimum, "optimum")}) {
            json << (first ? "\n" : ",\n");
            first = false;
            print(result, staticResult, json);
        }
        std::cout << "seed " << deployment.seed
                  << ", steps held by one change: " << stepsHeldByChange(deployment.ranks) << "\n";
    }
    json << "\n]\n";
}

} // namespace

} // namespace Nutmegrill

// Prints the step-time skew and the bytes moved by each policy over a simulated day. Arguments: the
// JSON output file, and a substring that selects deployments by name.
int main(int argc, char **argv)
{
    Nutmegrill::measureAll(argc > 1 ? argv[1] : "measure-experts.json", argc > 2 ? argv[2] : "");
    return 0;
}
