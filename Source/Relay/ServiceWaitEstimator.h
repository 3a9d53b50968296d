#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Smoothed time for which requests of one service hold a slot at a backend server, and the
/// expected wait of a queued request that follows from it.
class ServiceWaitEstimator
{
public:
    ServiceWaitEstimator(std::chrono::microseconds initialHold,
                         std::chrono::microseconds initialDelay)
        : holdTime(initialHold), delay(initialDelay)
    {}

    /// A completed request held its slot for \a time.
    void recordHoldTime(std::chrono::microseconds time);

    /// The answer, or its first event, was received \a time after the request was sent.
    void recordDelay(std::chrono::microseconds time);

    /// Expected wait of a request behind \a ahead others at this entry, when all \a slots are
    /// taken and this entry gets the fraction \a share of those that become free.
    std::chrono::milliseconds expectedWait(std::uint32_t ahead, std::uint32_t slots,
                                           double share) const;

    std::chrono::microseconds meanHoldTime() const { return this->holdTime; }
    std::chrono::microseconds meanDelay() const { return this->delay; }
    /// Delay that nine in ten requests stay below.
    std::chrono::microseconds highDelay() const
    {
        return this->delay + this->delayDeviation * DeviationsToHigh;
    }

private:
    /// Mean deviations from the mean; the delays have a tail on one side.
    static constexpr int DeviationsToHigh = 2;

    std::chrono::microseconds holdTime;
    std::chrono::microseconds delay;
    std::chrono::microseconds delayDeviation{0};
};

} // namespace Nutmegrill
