#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Limit on the requests that one backend server of a model service runs at once. Load pattern: the
/// ranks of a group step together, and each request and each unevenly loaded rank makes the steps
/// of all longer; beyond a point every stream of the group pauses for longer than its callers
/// accept. The limit falls while the pauses come close to the target, so that fewer streams run and
/// these are on time, and rises again while there is room.
class PaceLimit
{
public:
    /// A stream showed an event \a pause after its last one. \a target is the longest pause that
    /// its callers are meant to see.
    void notePause(Instant now, std::chrono::microseconds pause, std::chrono::microseconds target);

    /// Requests that a backend server with \a slots may run.
    std::uint32_t limit(std::uint32_t slots) const;

private:
    /// Pauses over their targets, smoothed.
    double ratio = 0;
    /// Part of the slots in use.
    double share = 1;
    Instant adjustedAt;
    std::uint32_t samples = 0;
};

} // namespace Nutmegrill
