#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Who may call, how much of the capacity they are entitled to, and under which key.
struct ClientAccount
{
    std::string name;
    /// SHA-256 of the bearer key as 64 lower-case hexadecimal digits.
    std::string keyHash;
    /// Share relative to the other client accounts under overload.
    std::uint32_t weight = 1;
    std::vector<std::string> services;
    std::uint32_t maxQueued = 256;
    /// Bytes held for the slow readers of this client account in one process.
    std::uint64_t bufferBytes = 8U << 20U;
    /// Hashes of further keys that are valid as well, for example while a key is being replaced.
    std::vector<std::string> furtherKeyHashes = {};
    /// Urgency of the account's requests, 0 first; goes before that of the route.
    std::optional<std::uint32_t> priority = {};

    bool operator==(const ClientAccount &) const = default;
};

} // namespace Nutmegrill
