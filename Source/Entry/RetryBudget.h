#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Limits retries to a tenth of the first attempts, so that retries do not multiply an overload.
class RetryBudget
{
public:
    void noteFirstAttempt();

    /// Takes one retry; false when the budget is used up.
    bool takeRetry();

private:
    // In tenths of a retry. The initial balance covers the burst of rejections when a failure
    // domain is taken out while there has been little traffic.
    static constexpr std::uint32_t Retry = 10;
    static constexpr std::uint32_t Largest = 32 * Retry;
    std::uint32_t balance = Largest;
};

} // namespace Nutmegrill
