#include "Agent/WarmupLimit.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds WindowLength(1);
// A cold backend server is many times slower; normal batch growth stays below a factor of three.
constexpr int SlowFactor = 4;
// A single late token (an engine pause) must not turn a warm backend server cold.
constexpr std::uint32_t SlowScoreThreshold = 3;
constexpr std::size_t MinIntervalsPerWindow = 4;
// Maximum number of clean windows from the cold to the warm limit; fewer if the limits are closer.
constexpr std::uint32_t MaxSteps = 8;

} // namespace

void WarmupLimit::configure(std::uint32_t cold, std::uint32_t warm, std::chrono::seconds coldStart)
{
    // Applies the new duration from the start of the cold phase, which precedes the first
    // declaration.
    this->coldUntil += coldStart - this->coldStart;
    this->coldStart = coldStart;
    const bool first = this->warmLimit == 0;
    const bool wasWarm = !first && this->isWarm();
    this->warmLimit = std::max(warm, 1U);
    this->coldLimit = std::clamp(cold, 1U, this->warmLimit);
    if (wasWarm)
        this->cleanWindows = this->stepCount();
    this->updateLimit();
}

std::uint32_t WarmupLimit::stepCount() const
{
    return std::min(MaxSteps, this->warmLimit - this->coldLimit);
}

void WarmupLimit::updateLimit()
{
    this->cleanWindows = std::min(this->cleanWindows, this->stepCount());
    const std::uint32_t all = std::max(this->stepCount(), 1U);
    // Rounded down, because a limit above the linear ramp would overload the backend server.
    this->currentLimit = this->stepCount() == 0 ? this->warmLimit
                                                : this->coldLimit
                                                          + (this->warmLimit - this->coldLimit)
                                                                    * this->cleanWindows / all;
}

void WarmupLimit::turnCold(Instant now)
{
    this->cleanWindows = 0;
    this->updateLimit();
    this->slowScore = 0;
    this->coldUntil = now + this->coldStart;
    this->openWindow(now);
}

bool WarmupLimit::addTokenInterval(Instant now, Instant::duration interval)
{
    this->intervals.push_back(interval);
    const bool slow = this->warmInterval.count() > 0 && interval > SlowFactor * this->warmInterval;
    if (slow) {
        ++this->slowIntervals;
        ++this->slowScore;
    } else if (this->slowScore > 0) {
        --this->slowScore;
    }
    if (this->slowScore < SlowScoreThreshold)
        return true;
    this->turnCold(now);
    return false;
}

bool WarmupLimit::tick(Instant now)
{
    if (now < this->windowEnd)
        return false;
    const std::uint32_t before = this->currentLimit;
    if (now >= this->coldUntil && this->isWindowClean()) {
        ++this->cleanWindows;
        this->updateLimit();
        this->learnWarmInterval();
    }
    this->openWindow(now);
    return this->currentLimit != before;
}

void WarmupLimit::openWindow(Instant now)
{
    this->intervals.clear();
    this->slowIntervals = 0;
    this->completions = 0;
    this->windowEnd = now + WindowLength;
}

bool WarmupLimit::isWindowClean() const
{
    const bool measured = this->intervals.size() >= MinIntervalsPerWindow || this->completions > 0;
    return measured && 4 * this->slowIntervals <= this->intervals.size();
}

void WarmupLimit::learnWarmInterval()
{
    if (this->intervals.size() < MinIntervalsPerWindow)
        return;
    const auto middle =
            this->intervals.begin() + static_cast<std::ptrdiff_t>(this->intervals.size() / 2);
    std::nth_element(this->intervals.begin(), middle, this->intervals.end());
    // Events read in one batch have interval zero, which does not measure the engine.
    if (middle->count() <= 0)
        return;
    const Instant::duration risen = this->warmInterval + this->warmInterval / 16;
    this->warmInterval = this->warmInterval.count() == 0 ? *middle : std::min(*middle, risen);
}

} // namespace Nutmegrill
