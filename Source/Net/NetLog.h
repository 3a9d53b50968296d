#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Numbers of the log events of the network layer, which are listed in docs/events.md.
namespace NetLog {

inline constexpr std::uint32_t LinesDropped = 5040;

} // namespace NetLog

} // namespace Nutmegrill
