#pragma once

#include <chrono>
#include <cstddef>

namespace Nutmegrill {

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTime{3000};
    std::chrono::milliseconds idleTime{15000};

    bool operator==(const CallerLimits &) const = default;
};

} // namespace Nutmegrill
