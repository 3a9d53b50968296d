#pragma once

#include <chrono>

namespace Nutmegrill {

/// Limits that are used by several decisions of a relaying entry.
namespace RelayLimits {

/// Remaining time below which no further attempt is made.
inline constexpr std::chrono::milliseconds MinAttemptTime{60};
inline constexpr std::chrono::milliseconds MinRetryAfter{100};

} // namespace RelayLimits

} // namespace Nutmegrill
