#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// How long requests of one service hold a place at a backend server, smoothed, and the wait that
/// follows from it for a request behind others.
class ServiceLoad
{
public:
    ServiceLoad(std::chrono::microseconds usualHold, std::chrono::microseconds usualDelay)
        : hold(usualHold), delay(usualDelay)
    {}

    /// A request that was served held its place this long.
    void noteHold(std::chrono::microseconds time);

    /// The answer, or its first event, came this long after the request was sent.
    void noteDelay(std::chrono::microseconds time);

    /// Wait of a request with \a ahead requests before it at this entry, when \a places are taken
    /// in all and \a share of those that become free fall to this entry.
    std::chrono::milliseconds expectedWait(std::uint32_t ahead, std::uint32_t places,
                                           double share) const;

    std::chrono::microseconds meanHold() const { return this->hold; }
    std::chrono::microseconds meanDelay() const { return this->delay; }

private:
    std::chrono::microseconds hold;
    std::chrono::microseconds delay;
};

} // namespace Nutmegrill
