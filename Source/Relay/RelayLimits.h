#pragma once

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Limits that are used by several decisions of a relaying entry.
namespace RelayLimits {

/// Remaining time below which no further attempt is made.
inline constexpr std::chrono::milliseconds MinAttemptTime{60};
inline constexpr std::chrono::milliseconds MinRetryAfter{100};
/// Attempts per request, including those that backend servers rejected as not run.
inline constexpr std::uint32_t MaxSends = 4;

} // namespace RelayLimits

} // namespace Nutmegrill
