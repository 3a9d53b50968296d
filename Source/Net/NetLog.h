#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Log events of the network layer; docs/events.md is the catalogue.
namespace NetLog {

inline constexpr std::uint32_t LinesDropped = 5040;

} // namespace NetLog

} // namespace Nutmegrill
