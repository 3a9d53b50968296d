#pragma once

namespace Nutmegrill {

/// What the decision about a second attempt depends on besides the time of the first one.
struct HedgeInput
{
    bool isStopping = false;
    bool runsOnce = false;
    bool hasNoRunsLeft = false;
    bool isSuspect = false;
    bool isNearDeadline = false;
    bool isSaturated = false;
    bool isHedgeBudgetUsedUp = false;
    bool isRetryBudgetUsedUp = false;
};

} // namespace Nutmegrill
