#pragma once

#include "Core/Time.h"

#include <chrono>

namespace Nutmegrill {

/// Decides whether an entry in a planned stop still takes a request. Load pattern: callers with a
/// cached address lookup send their requests up to the end of the grace time. A request that is
/// taken and cut is lost, and one that may not be repeated is in doubt, while one that is refused
/// as not run goes to another entry at once.
namespace StopAdmission {

struct Input
{
    Instant now;
    /// End of the process.
    Instant stopAt;
    /// The caller's deadline or the route's timeout, whichever is earlier.
    Instant deadline;
    /// The caller can let a stream that is cut go on at another entry.
    bool isResumableStream = false;
    /// Mean time for which requests of the service hold their slot.
    std::chrono::microseconds meanHoldTime{0};
};

/// Moments of a planned stop.
struct Phases
{
    /// Idle connections are closed and new ones refused from then on. Until then, callers with a
    /// cached address lookup are still served.
    Instant closeAt;
    /// Requests that are still open get their final answer.
    Instant answerAt;
    /// The process ends, unless answers are still being sent.
    Instant exitAt;
    /// The process ends in any case.
    Instant latestExitAt;
};

/// \a begin is the earliest time at which the stop may have been requested: the process is killed a
/// grace time after that, however late it noticed the request.
Phases phasesOf(Instant begin, std::chrono::milliseconds graceTime);

/// Whether the request ends before the process does. Only its deadline makes that certain; a
/// resumable stream is taken if it is expected to.
bool endsInTime(const Input &input);

} // namespace StopAdmission

} // namespace Nutmegrill
