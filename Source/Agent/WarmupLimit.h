#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Nutmegrill {

/// Number of requests that the backend server bears at once. Starts at the declared cold limit and
/// widens by one step after each window with good measurements.
class WarmupLimit
{
public:
    /// Sets the declared limits and how long a cold start lasts at least.
    void declare(std::uint32_t cold, std::uint32_t warm, std::chrono::seconds coldStart);

    void turnCold(Instant now);

    /// One measured time between two tokens of one answer. Returns false when the backend server
    /// has turned cold by it.
    bool addTokenInterval(Instant now, Instant::duration interval);

    /// A call without tokens was answered.
    void addCompletion() { ++this->completions; }

    /// Closes the window when its time is over. Returns whether the limit has changed.
    bool tick(Instant now);

    std::uint32_t limit() const { return this->current; }
    bool isWarm() const { return this->current >= this->warm; }

private:
    void openWindow(Instant now);
    std::uint32_t steps() const;
    void follow();
    bool isWindowClean() const;
    void learnWarmInterval();

    std::uint32_t cold = 0;
    std::uint32_t warm = 0;
    /// Declared length of a cold start.
    std::chrono::seconds coldStart{0};
    /// The limit does not widen before this instant.
    Instant coldUntil;
    std::uint32_t current = 0;
    /// Clean windows since the cold start; equal to steps() when warm.
    std::uint32_t cleanWindows = 0;
    std::vector<Instant::duration> intervals;
    std::uint32_t slowIntervals = 0;
    /// Slow intervals less good ones, not below zero, over all windows.
    std::uint32_t slowScore = 0;
    std::uint32_t completions = 0;
    /// Token interval of the backend server in good windows; zero before the first one.
    Instant::duration warmInterval{0};
    Instant windowEnd;
};

} // namespace Nutmegrill
