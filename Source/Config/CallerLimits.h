#pragma once

#include <chrono>
#include <cstddef>

namespace Nutmegrill {

/// Size and time limits for the requests and connections of callers.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTime{3000};
    std::chrono::milliseconds idleTime{15000};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace Nutmegrill
