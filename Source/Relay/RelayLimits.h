#pragma once

#include <chrono>

namespace Nutmegrill {

/// Limits that are used by several decisions of a relaying entry.
namespace RelayLimits {

/// Remaining time below which no further attempt is made.
inline constexpr std::chrono::milliseconds LeastAttemptTime{60};
inline constexpr std::chrono::milliseconds LeastRetryAfter{100};

} // namespace RelayLimits

} // namespace Nutmegrill
