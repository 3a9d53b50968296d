#pragma once

#include "Messages/WorkMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Value of a claim key in the store: the agent that runs a non-idempotent request, and the answer
/// once it is known.
struct ClaimRecord
{
    enum class State { Running, Completed, Unknown };

    std::string claimId;
    std::string agent;
    std::string bodyHash;
    State state = State::Running;
    /// Maximum run time. Agents share no clock, so another agent counts from its first read of the
    /// record.
    std::chrono::milliseconds runLimit{0};
    int status = 0;
    WorkMessage::Headers headers;
    std::string body;
    /// Whether \a body holds the answer; an answer above the size limit is not recorded.
    bool hasBody = false;
};

/// Encodes as JSON with a fixed field order, so that equal records have equal bytes.
std::string encodeClaimRecord(const ClaimRecord &record);

/// Returns nullopt for malformed text.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view text);

} // namespace Nutmegrill
