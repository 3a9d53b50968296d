#pragma once

#include "Agent/AgentEvent.h"
#include "Agent/AnswerTail.h"
#include "Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// State of an accepted request, from its arrival until its tail is dropped.
struct RequestRow
{
    enum class Phase {
        Alone,    ///< a suspect that waits until the backend server is idle
        Claiming, ///< its claim is being written
        Running,  ///< sent to the backend server
        Ended     ///< answered completely; the tail is retained
    };

    WorkMessage::Request request;
    Phase phase = Phase::Claiming;
    std::uint64_t fingerprint = 0;

    /// Work stream that reads the answer; 0 if none.
    AgentEvent::WorkId work = 0;
    AgentEvent::LinkId link = 0;
    bool headSent = false;
    std::uint64_t nextToSend = 0;
    /// End has been sent on some stream.
    bool endSent = false;
    /// Bytes written to the stream that the entry has not read.
    std::uint64_t buffered = 0;
    bool paused = false;

    std::optional<WorkMessage::Head> head;
    AnswerTail tail;
    /// Time at which the backend server last sent data of the answer.
    Instant lastData;
    /// Tokens were received, so the answer comes from an inference engine.
    bool hasTokens = false;
    /// The time since lastData measures the engine and not a paused reader.
    bool isIntervalValid = false;
    /// The request was sent to the backend server before under the same id.
    bool wasSentBefore = false;
    /// A crash of the backend server during this request has been recorded.
    bool isCrashRecorded = false;

    /// Key of the claim in the store; empty for idempotent requests.
    std::string claimKey;
    /// The answer is held back until its record is in the store.
    bool withheld = false;

    /// Deadline of the phases Alone and Claiming.
    Instant startDeadline = NoDeadline;
    /// Deadline of a claimed request; its outcome is then recorded as unknown.
    Instant runDeadline = NoDeadline;
    /// Deadline of the record; a withheld answer is then forwarded without one.
    Instant recordDeadline = NoDeadline;
    /// Time at which the tail of a detached answer expires.
    Instant keepDeadline = NoDeadline;

    bool isClaimed() const { return !this->claimKey.empty(); }
    bool isActive() const { return this->phase != Phase::Ended; }
    bool isStarted() const { return this->phase >= Phase::Running; }
};

} // namespace Nutmegrill
