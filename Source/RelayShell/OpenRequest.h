#pragma once

#include "Core/Time.h"
#include "Http/HttpHead.h"
#include "Relay/RelayOrder.h"

#include <string>

namespace Nutmegrill {

/// What the shell keeps of a caller's request until its final answer.
struct OpenRequest
{
    HttpHead head;
    std::string body;
    std::string requestId;
    RelayOrder::AttemptId attempt = 0;
    Instant arrivedAt;
    bool isPaused = false;
};

} // namespace Nutmegrill
