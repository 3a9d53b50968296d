#pragma once

#include "Core/Time.h"
#include "Http/HttpHead.h"
#include "Relay/RelayCommand.h"

#include <string>

namespace Nutmegrill {

/// State that the I/O layer keeps for a caller's request until the request ends.
struct OpenRequest
{
    HttpHead head;
    std::string body;
    std::string requestId;
    RelayCommand::AttemptId attempt = 0;
    Instant arrivedAt;
    /// Reading from the backend server is paused because the caller reads slowly.
    bool isPaused = false;
};

} // namespace Nutmegrill
