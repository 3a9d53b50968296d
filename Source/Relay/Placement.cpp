#include "Relay/Placement.h"

#include "Core/RandomSource.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace Nutmegrill {

namespace {

/// A backend server counts as failing when its failure share exceeds the median by this margin. A
/// single failure raises the share by 0.2 and so stays below it.
constexpr double FailureMargin = 0.25;
/// Fewer missing requests than this are rounding errors.
constexpr double MinMissing = 1e-6;

double medianFailureShare(const std::vector<PlacementCandidate> &candidates)
{
    std::vector<double> shares;
    shares.reserve(candidates.size());
    for (const PlacementCandidate &candidate : candidates)
        shares.push_back(candidate.failureShare);
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

/// A candidate of the best class, with its load relative to its capacity.
struct Option
{
    const PlacementCandidate *candidate;
    /// Requests that raise the load by one.
    double capacity;
    double load;
};

/// The least load to which that many further requests raise all options below it. \a options are
/// in the order of their loads.
double levelAfter(const std::vector<Option> &options, double requests)
{
    double capacity = 0;
    double filled = 0;
    double level = 0;
    for (std::size_t index = 0; index < options.size(); ++index) {
        capacity += options[index].capacity;
        filled += options[index].capacity * options[index].load;
        level = (requests + filled) / capacity;
        if (index + 1 < options.size() && level <= options[index + 1].load)
            break;
    }
    return level;
}

std::vector<Option> bestOptions(const std::vector<PlacementCandidate> &candidates,
                                double replacedShare)
{
    const double failureLimit = medianFailureShare(candidates) + FailureMargin;
    using Class = std::tuple<bool, bool, bool, bool>;
    std::optional<Class> best;
    std::vector<Option> options;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.running >= candidate.slots)
            continue;
        const Class own{candidate.isStalled, candidate.failureShare > failureLimit,
                        candidate.isSlow, candidate.isCold};
        if (best && own > *best)
            continue;
        if (!best || own < *best)
            options.clear();
        best = own;
        const double elsewhere = candidate.running - candidate.runningHere;
        const double running = candidate.runningHere + elsewhere * (1 - replacedShare);
        const double capacity = candidate.slots / (candidate.pace * candidate.pace);
        options.push_back({&candidate, capacity, running / capacity});
    }
    std::sort(options.begin(), options.end(),
              [](const Option &left, const Option &right) { return left.load < right.load; });
    return options;
}

} // namespace

std::optional<std::string> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        double replacedShare, RandomSource &random)
{
    if (candidates.empty())
        return std::nullopt;
    const std::vector<Option> options = bestOptions(candidates, replacedShare);
    if (options.empty())
        return std::nullopt;
    double replaced = 0;
    for (const PlacementCandidate &candidate : candidates)
        replaced += replacedShare * (candidate.running - candidate.runningHere);
    const double level = levelAfter(options, replaced);
    // Requests that are spread at random exceed their mean by this much at many servers.
    const double margin = std::sqrt(replaced / static_cast<double>(options.size()));
    double missing = 0;
    for (const Option &option : options)
        missing += option.capacity * std::max(0.0, level - option.load);
    if (missing <= MinMissing) {
        // Nothing is unseen: one of the least loaded servers.
        const auto ties = std::count_if(options.begin(), options.end(), [&](const Option &option) {
            return option.load <= options.front().load;
        });
        return options[random.below(static_cast<std::uint64_t>(ties))].candidate->id;
    }
    double draw = random.unit() * missing;
    for (const Option &option : options) {
        draw -= option.capacity * std::max(0.0, level - option.load);
        if (draw > 0)
            continue;
        if (option.capacity * level + margin > option.candidate->slots)
            return std::nullopt;
        return option.candidate->id;
    }
    return std::nullopt;
}
} // namespace Nutmegrill
