#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A client with its API key, the services it may call and its share of the capacity.
struct ClientAccount
{
    std::string name;
    /// SHA-256 of the bearer key as 64 lower-case hexadecimal digits.
    std::string keyHash;
    /// Weight relative to the other client accounts under overload.
    std::uint32_t weight = 1;
    std::vector<std::string> services;
    std::uint32_t maxQueued = 256;
    /// Limit of the bytes that one process buffers for slow readers of this client account.
    std::uint64_t bufferBytes = 8U << 20U;
    /// Hashes of further keys that are valid as well, for example while a key is being replaced.
    std::vector<std::string> furtherKeyHashes = {};
    /// Priority of the account's requests, 0 is the highest; overrides that of the route.
    std::optional<std::uint32_t> priority = {};

    bool operator==(const ClientAccount &) const = default;
};

} // namespace Nutmegrill
