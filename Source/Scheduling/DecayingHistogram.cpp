#include "Scheduling/DecayingHistogram.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

namespace {

constexpr std::chrono::microseconds LowestBound{1000};
constexpr double BoundRatio = 1.1;
constexpr std::chrono::duration<double> HalfLife{10};
/// All weights are multiplied only at this interval, because samples can arrive much more often.
constexpr std::chrono::milliseconds DecayPeriod{100};

double decayFactor(std::chrono::microseconds span)
{
    return std::exp2(-(std::chrono::duration<double>(span) / HalfLife));
}

} // namespace

void DecayingHistogram::add(Instant now, std::chrono::microseconds sample)
{
    if (now >= this->decayedAt + DecayPeriod) {
        const double factor = decayFactor(now - this->decayedAt);
        for (float &weight : this->weights)
            weight *= static_cast<float>(factor);
        this->total *= factor;
        this->decayedAt = now;
    }
    const double ratio = std::max(1.0, std::chrono::duration<double>(sample) / LowestBound);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(BoundRatio)));
    this->weights[std::min(bucket, Buckets - 1)] += 1;
    this->total += 1;
}

double DecayingHistogram::weight(Instant now) const
{
    return this->total * decayFactor(now - this->decayedAt);
}

std::chrono::microseconds DecayingHistogram::quantile(double fraction) const
{
    double below = 0;
    for (std::size_t bucket = 0; bucket < Buckets; ++bucket) {
        below += this->weights[bucket];
        if (below > 0 && below >= fraction * this->total)
            return std::chrono::microseconds(
                    static_cast<std::int64_t>(static_cast<double>(LowestBound.count())
                                              * std::pow(BoundRatio, static_cast<double>(bucket))));
    }
    // Rounding in the sums can leave the last bucket just below the fraction.
    return this->total > 0 ? std::chrono::microseconds(std::chrono::minutes(1))
                           : std::chrono::microseconds(0);
}

} // namespace Nutmegrill
