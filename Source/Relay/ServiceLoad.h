#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Smoothed time for which requests of one service hold a slot at a backend server, and the
/// expected wait of a queued request that follows from it.
class ServiceLoad
{
public:
    ServiceLoad(std::chrono::microseconds initialHold, std::chrono::microseconds initialDelay)
        : hold(initialHold), delay(initialDelay)
    {}

    /// A completed request held its slot for \a time.
    void noteHold(std::chrono::microseconds time);

    /// The answer, or its first event, was received \a time after the request was sent.
    void noteDelay(std::chrono::microseconds time);

    /// Expected wait of a request behind \a ahead others at this entry, when all \a slots are
    /// taken and this entry gets the fraction \a share of those that become free.
    std::chrono::milliseconds expectedWait(std::uint32_t ahead, std::uint32_t slots,
                                           double share) const;

    std::chrono::microseconds meanHold() const { return this->hold; }
    std::chrono::microseconds meanDelay() const { return this->delay; }

private:
    std::chrono::microseconds hold;
    std::chrono::microseconds delay;
};

} // namespace Nutmegrill
