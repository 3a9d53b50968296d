#include "Core/Hash.h"

#include <array>

#include <openssl/sha.h>
#include <xxhash.h>

namespace Nutmegrill {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * digest.size());
    for (unsigned char byte : digest) {
        hex.push_back(Digits[byte >> 4U]);
        hex.push_back(Digits[byte & 0x0fU]);
    }
    return hex;
}

} // namespace Nutmegrill
