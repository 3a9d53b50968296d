#pragma once

#include <chrono>
#include <cstddef>

namespace Nutmegrill {

/// Size and time limits for the requests and connections of callers.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    /// From the first byte of a request to the end of its head.
    std::chrono::milliseconds headerTime{3000};
    /// From the opening of a connection or the end of a response to the next request, and from the
    /// head of a request to the end of its body.
    std::chrono::milliseconds idleTime{15000};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace Nutmegrill
