#include "Relay/Placement.h"

#include "Core/RandomSource.h"

#include <algorithm>
#include <tuple>

namespace Nutmegrill {

namespace {

/// A backend server counts as failing when its failure share exceeds the median by this margin. A
/// single failure raises the share by 0.2 and so stays below it.
constexpr double FailureMargin = 0.25;

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

} // namespace

std::optional<std::string> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        RandomSource &random)
{
    if (candidates.empty())
        return std::nullopt;
    const double medianShare = medianFailureShare(candidates);
    using Rank = std::tuple<bool, bool, bool, double, std::uint64_t>;
    std::optional<Rank> best;
    const PlacementCandidate *chosen = nullptr;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.running >= candidate.slots)
            continue;
        static constexpr std::uint64_t TieBreakRange = 1U << 20U;
        const Rank rank{candidate.isStalled, candidate.failureShare > medianShare + FailureMargin,
                        candidate.isCold,
                        candidate.pace * candidate.pace * candidate.running / candidate.slots,
                        random.below(TieBreakRange)};
        if (!best || rank < *best) {
            best = rank;
            chosen = &candidate;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(chosen->id);
}

} // namespace Nutmegrill
