#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Limits retries to a tenth of the first attempts, so that retries do not amplify an overload.
class RetryBudget
{
public:
    void noteFirstAttempt();

    /// Withdraws one retry; returns false when the budget is exhausted.
    bool takeRetry();

private:
    // In tenths of a retry. The initial balance covers the burst of rejections when a failure
    // domain is taken out after little traffic.
    static constexpr std::uint32_t Retry = 10;
    static constexpr std::uint32_t Largest = 32 * Retry;
    std::uint32_t balance = Largest;
};

} // namespace Nutmegrill
