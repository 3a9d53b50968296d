#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Properties of a caller's request that the decision logic uses. The request itself is relayed
/// unchanged.
struct RelayRequest
{
    /// Set by the caller; differs between the caller's own repeats.
    std::string id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Key of the client account; empty when there is none.
    std::string key;
    /// Time until the caller's deadline.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// Last event that the caller received; the stream is resumed after it.
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /// Ids of the parts of the prompt that other requests may share, in order.
    std::vector<std::string> sharedParts;
    /// Hash of everything that an identical repeat has in common; 0 if unknown.
    std::uint64_t contentHash = 0;
};

} // namespace Nutmegrill
