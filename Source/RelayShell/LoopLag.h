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

    /// Time since the last tick: what happened longer ago has been noticed before.
    std::chrono::milliseconds sinceTick(Instant now) const;

private:
    std::chrono::milliseconds tickPeriod;
    std::optional<Instant> lastTickAt;
    std::chrono::microseconds longest{0};
    Instant nextRecordAt;
};

} // namespace Nutmegrill
