#pragma once

#include "Agent/AgentEvent.h"
#include "Agent/AnswerTail.h"
#include "Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// One request that the agent has accepted, from its arrival until its tail is dropped.
struct RequestRow
{
    enum class Phase {
        Alone,    ///< a suspect that waits until the backend server is empty
        Claiming, ///< its claim is being written
        Running,  ///< handed to the backend server
        Ended     ///< answered in full; the tail is kept
    };

    WorkMessage::Request request;
    Phase phase = Phase::Claiming;
    std::uint64_t fingerprint = 0;

    /// Stream that reads the answer; 0 while none does.
    AgentEvent::WorkId work = 0;
    AgentEvent::LinkId link = 0;
    bool headSent = false;
    std::uint64_t nextToSend = 0;
    /// End has been sent on some stream.
    bool endSent = false;
    /// Bytes on the stream that the entry has not taken.
    std::uint64_t buffered = 0;
    bool paused = false;

    std::optional<WorkMessage::Head> head;
    AnswerTail tail;
    Instant lastData;
    /// Tokens have come, so this is the answer of an engine.
    bool hasTokens = false;
    /// The time since lastData is the engine's own pace.
    bool isPaceKnown = false;
    /// It was handed over before under the same id.
    bool wasCalledBefore = false;
    /// The backend server crashed while it ran this request, and the crash is recorded.
    bool hasCrashed = false;

    /// Key of the claim in the store; empty for idempotent requests.
    std::string claimKey;
    /// The answer waits for its record in the store.
    bool withheld = false;

    /// End of waiting in the phases Alone and Claiming.
    Instant startDeadline = NoDeadline;
    /// A claimed run whose answer does not come is recorded as unknown then.
    Instant runDeadline = NoDeadline;
    /// A withheld answer is passed on without a record then.
    Instant recordDeadline = NoDeadline;
    /// The tail is dropped then.
    Instant keepDeadline = NoDeadline;

    bool isClaimed() const { return !this->claimKey.empty(); }
    bool isActive() const { return this->phase != Phase::Ended; }
    bool isStarted() const { return this->phase >= Phase::Running; }
};

} // namespace Nutmegrill
