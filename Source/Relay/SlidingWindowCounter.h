#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace Nutmegrill {

/// Counts events within a sliding time window.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(std::chrono::microseconds window) : window(window) {}

    void add(Instant now);
    std::uint32_t count(Instant now);

private:
    std::chrono::microseconds window;
    std::deque<Instant> times;
};

} // namespace Nutmegrill
