#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Compact form of an expert map for messages: numbers of one or two bytes, two when an expert does
/// not fit one.
using ExpertSlots = std::vector<std::vector<std::vector<std::uint32_t>>>;

std::size_t packedMapSize(const ExpertSlots &map);
std::vector<std::uint8_t> packMap(const ExpertSlots &map);
/// nullopt for malformed bytes.
std::optional<ExpertSlots> unpackMap(const std::vector<std::uint8_t> &bytes);

} // namespace Nutmegrill
