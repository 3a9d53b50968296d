#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// 64-bit xxHash of \a text. Stable across processes and machines.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Weight of \a candidate for \a key in rendezvous hashing; the candidate with the highest weight
/// wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// SHA-256 of \a text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

} // namespace Nutmegrill
