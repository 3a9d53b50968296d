#pragma once

#include "Messages/WorkMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Value of a claim key in the store: who runs a non-idempotent call, and its answer once known.
struct ClaimRecord
{
    enum class State { Running, Completed, Unknown };

    std::string claimId;
    std::string agent;
    std::string bodyHash;
    State state = State::Running;
    /// The run takes at most this long. There is no common clock, so a reader counts from its first
    /// sight of the record.
    std::chrono::milliseconds runLimit{0};
    int status = 0;
    WorkMessage::Headers headers;
    std::string body;
    /// Whether \a body holds the answer; a longer one is not recorded.
    bool hasBody = false;
};

/// JSON with the fields in a fixed order, so that equal records give equal bytes.
std::string encodeClaimRecord(const ClaimRecord &record);

/// Malformed text gives nullopt.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view text);

} // namespace Nutmegrill
