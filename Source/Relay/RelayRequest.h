#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// What the decisions need to know about a request that is relayed unchanged.
struct RelayRequest
{
    /// Given by the caller; each attempt of a caller has its own.
    std::string id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Key of the client account; empty when there is none.
    std::string key;
    /// How long the caller waits.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// A stream is to go on after this event.
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

} // namespace Nutmegrill
