#pragma once

#include "Core/Time.h"
#include "Relay/AnswerHead.h"
#include "Relay/RelayOrder.h"

#include <optional>
#include <string>

namespace Nutmegrill {

/// A request of a caller that was sent to a backend server and is open there.
struct Attempt
{
    RelayOrder::AttemptId id = 0;
    std::string backend;
    Instant sentAt;
    /// Last sign of life: the head or an event.
    Instant heardAt;
    bool hasHead = false;
    bool hasEvent = false;
    /// The backend server has stated that it does not run the request.
    std::optional<AnswerHead> refusal;
};

} // namespace Nutmegrill
