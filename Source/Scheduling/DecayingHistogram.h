#pragma once

#include "Core/Time.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace Nutmegrill {

/// Distribution of recent times: the weight of a sample halves every ten seconds. The bounds of the
/// buckets grow by a tenth from 1 ms to more than a minute, so a quantile is at most a tenth too
/// high.
class DecayingHistogram
{
public:
    void add(Instant now, std::chrono::microseconds sample);

    /// Number of samples, the older ones at their reduced weight.
    double weight(Instant now) const;

    /// Upper bound of the bucket that holds the quantile \a fraction. 0 without samples.
    std::chrono::microseconds quantile(double fraction) const;

private:
    static constexpr std::size_t Buckets = 120;

    std::array<float, Buckets> weights{};
    /// Sum of the weights at the time of the last decay.
    double total = 0;
    Instant decayedAt;
};

} // namespace Nutmegrill
