#pragma once

#include <chrono>

namespace Nutmegrill {

/// Limits that several decisions of a relaying entry share.
namespace RelayLimits {

/// Time for a further attempt: below it an attempt is not worth its place.
inline constexpr std::chrono::milliseconds LeastAttemptTime{60};
inline constexpr std::chrono::milliseconds LeastRetryAfter{100};

} // namespace RelayLimits

} // namespace Nutmegrill
