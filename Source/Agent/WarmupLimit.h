#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Nutmegrill {

/// Concurrency limit of the backend server during warm-up. Starts at the declared cold limit and
/// rises by one step after each clean measurement window.
class WarmupLimit
{
public:
    /// Sets the declared limits and the minimum duration of a cold start.
    void configure(std::uint32_t cold, std::uint32_t warm, std::chrono::seconds coldStart);

    void turnCold(Instant now);

    /// Adds the measured time between two tokens of one answer. Returns false if it turned the
    /// backend server cold.
    bool addTokenInterval(Instant now, Instant::duration interval);

    /// Counts a completed answer without tokens.
    void addCompletion() { ++this->completions; }

    /// Closes the window at its end. Returns whether the limit changed.
    bool tick(Instant now);

    std::uint32_t limit() const { return this->currentLimit; }
    bool isWarm() const { return this->currentLimit >= this->warmLimit; }

private:
    void openWindow(Instant now);
    std::uint32_t stepCount() const;
    void updateLimit();
    bool isWindowClean() const;
    void learnWarmInterval();

    std::uint32_t coldLimit = 0;
    std::uint32_t warmLimit = 0;
    /// Declared minimum duration of a cold start.
    std::chrono::seconds coldStart{0};
    /// The limit does not rise before this time.
    Instant coldUntil;
    std::uint32_t currentLimit = 0;
    /// Clean windows since the cold start; equal to stepCount() when warm.
    std::uint32_t cleanWindows = 0;
    std::vector<Instant::duration> intervals;
    std::uint32_t slowIntervals = 0;
    /// Number of slow intervals minus normal ones over all windows, at least zero.
    std::uint32_t slowScore = 0;
    std::uint32_t completions = 0;
    /// Token interval of the warm backend server; zero before the first clean window.
    Instant::duration warmInterval{0};
    Instant windowEnd;
};

} // namespace Nutmegrill
