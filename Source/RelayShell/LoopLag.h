#pragma once

#include "Core/Time.h"

#include <chrono>
#include <optional>

namespace Nutmegrill {

class Metrics;

/// Measures how late the periodic tick of a process runs: a process that lacks processor time, or
/// one call that takes long, delays every message by as much.
class LoopLag
{
public:
    explicit LoopLag(std::chrono::milliseconds tickPeriod) : tickPeriod(tickPeriod) {}

    /// Called on each tick. Once a second it records the largest lag of that second, and returns it
    /// if it is worth a log line.
    std::optional<std::chrono::milliseconds> tick(Instant now, Metrics &metrics);

    /// Longest time for which an event that is handled now may have waited. It reaches back to the
    /// tick before the last one, because a tick can run before other events of the same iteration
    /// of the loop.
    std::chrono::milliseconds maxEventAge(Instant now) const;

private:
    std::chrono::milliseconds tickPeriod;
    std::optional<Instant> lastTickAt;
    std::optional<Instant> tickBeforeAt;
    std::chrono::microseconds longest{0};
    Instant nextRecordAt;
};

} // namespace Nutmegrill
