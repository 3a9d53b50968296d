#pragma once

#include <chrono>

namespace Nutmegrill {

/// Where the time of one request was spent, summed over its attempts.
struct RequestTimes
{
    /// In the entry, without an attempt.
    std::chrono::microseconds waiting{0};
    /// Until a new connection to the backend server was established.
    std::chrono::microseconds connecting{0};
    /// From the established connection to the first event of a stream or the end of an answer.
    std::chrono::microseconds serving{0};
    /// Longest pause between two events of a stream.
    std::chrono::microseconds longestPause{0};
};

} // namespace Nutmegrill
