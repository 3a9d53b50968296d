#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Limits retries to a tenth of the first attempts, so that retries do not amplify an overload.
class RetryBudget
{
public:
    void recordFirstAttempt();

    /// Withdraws one retry; returns false when the budget is exhausted.
    bool tryAcquire();

private:
    // In tenths of a retry. The initial balance covers the burst of rejections when a failure
    // domain is taken out after little traffic.
    static constexpr std::uint32_t RetryCost = 10;
    static constexpr std::uint32_t MaxBalance = 32 * RetryCost;
    std::uint32_t balance = MaxBalance;
};

} // namespace Nutmegrill
