#include "Scheduling/HedgePolicy.h"

#include "Scheduling/HedgeInput.h"

#include <algorithm>
#include <array>

namespace Nutmegrill {

namespace {

constexpr double LateQuantile = 0.95;
/// With fewer samples the quantile rests on two or three of them.
constexpr double MinSamples = 50;
/// Largest prompts of the size classes, in tokens; longer ones form a further class.
constexpr std::array<std::uint32_t, 2> SizeClassLimits{512, 2048};
/// Three classes of more services than a deployment has; rows that are no longer used make room.
constexpr std::size_t MaxRows = 768;
/// Weight below which a row is no longer used.
constexpr double MinKeptWeight = 1;

std::size_t sizeClassOf(std::uint32_t promptTokens)
{
    return static_cast<std::size_t>(
            std::lower_bound(SizeClassLimits.begin(), SizeClassLimits.end(), promptTokens)
            - SizeClassLimits.begin());
}

struct Rule
{
    bool HedgeInput::*holds;
    HedgeHold hold;
};

constexpr std::array Rules{Rule{&HedgeInput::isStopping, HedgeHold::Stopping},
                           Rule{&HedgeInput::runsOnce, HedgeHold::RunsOnce},
                           Rule{&HedgeInput::hasNoRunsLeft, HedgeHold::NoRunsLeft},
                           Rule{&HedgeInput::isSuspect, HedgeHold::Suspect},
                           Rule{&HedgeInput::isNearDeadline, HedgeHold::NearDeadline},
                           Rule{&HedgeInput::isSaturated, HedgeHold::Saturated},
                           Rule{&HedgeInput::isHedgeBudgetUsedUp, HedgeHold::HedgeBudget},
                           Rule{&HedgeInput::isRetryBudgetUsedUp, HedgeHold::RetryBudget}};

} // namespace

const char *nameOf(HedgeHold hold)
{
    static constexpr std::array Names{"planned_stop", "runs_once",    "no_runs_left",
                                      "suspect",      "deadline",     "saturated",
                                      "hedge_budget", "retry_budget", "no_server"};
    return Names.at(static_cast<std::size_t>(hold));
}

void HedgePolicy::recordDelay(Instant now, const std::string &service, std::uint32_t promptTokens,
                              std::chrono::microseconds delay)
{
    const Key key(service, sizeClassOf(promptTokens));
    if (this->delays.size() >= MaxRows && this->delays.count(key) == 0) {
        std::erase_if(this->delays, [now](const auto &entry) {
            return entry.second.weight(now) < MinKeptWeight;
        });
        if (this->delays.size() >= MaxRows)
            return;
    }
    this->delays[key].add(now, delay);
}

std::optional<std::chrono::microseconds>
HedgePolicy::lateAfter(Instant now, const std::string &service, std::uint32_t promptTokens) const
{
    const auto found = this->delays.find({service, sizeClassOf(promptTokens)});
    if (found == this->delays.end() || found->second.weight(now) < MinSamples)
        return std::nullopt;
    return found->second.quantile(LateQuantile);
}

std::optional<HedgeHold> HedgePolicy::reasonToHold(const HedgeInput &input)
{
    for (const Rule &rule : Rules) {
        if (input.*rule.holds)
            return rule.hold;
    }
    return std::nullopt;
}

} // namespace Nutmegrill
