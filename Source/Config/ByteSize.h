#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Nutmegrill {

/// Reads a whole number with an optional unit B, KiB, MiB, GiB or TiB, for instance `8GiB` or
/// `8 GiB`. Anything else, and a value above 64 bits, gives nullopt.
std::optional<std::uint64_t> parseByteSize(std::string_view text);

/// Reads a whole number without sign, unit or fraction.
std::optional<std::uint64_t> parseCount(std::string_view text);

} // namespace Nutmegrill
