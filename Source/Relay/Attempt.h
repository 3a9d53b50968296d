#pragma once

#include "Core/Time.h"
#include "Relay/AnswerHead.h"
#include "Relay/RelayCommand.h"

#include <optional>
#include <string>

namespace Nutmegrill {

/// One sending of a caller's request to a backend server, while it is open.
struct Attempt
{
    RelayCommand::AttemptId id = 0;
    std::string backend;
    /// Name of the unit of the backend server, see ServingUnit.
    std::string unit;
    /// Start of the backend server to which the request was sent.
    std::uint64_t incarnation = 0;
    Instant sentAt;
    /// When the connection to the backend server was usable; the time of sending if it was reused.
    Instant connectedAt;
    /// When the head or the last event was received; the time of sending before that.
    Instant lastActivityAt;
    Instant firstEventAt;
    bool hasHead = false;
    /// It has brought its first event, or a head that is not one of a stream or a failure.
    bool hasBegun = false;
    bool hasEvent = false;
    /// The answer has a status of success.
    bool isSuccess = false;
    /// The answer has a status of failure of the backend server.
    bool isFailure = false;
    /// The end of the answer is marked, not only that of the connection.
    bool isFramed = true;
    /// The backend server has written for long enough to show that the request does not crash it.
    bool hasRunWell = false;
    /// The request tests a quarantined trait.
    bool isTest = false;
    /// Started while the first attempt was late, see RelayNode::startSecondAttempts().
    bool isSecond = false;
    /// Head of an answer which states that the backend server did not run the request.
    std::optional<AnswerHead> refusal;
};

} // namespace Nutmegrill
