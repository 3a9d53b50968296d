#pragma once

#include <cstdint>
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

    bool operator==(const ClientAccount &) const = default;
};

} // namespace Nutmegrill
