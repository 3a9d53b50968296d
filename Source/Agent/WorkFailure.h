#pragma once

#include "Messages/WorkMessage.h"

#include <string>
#include <utility>

namespace Nutmegrill {

/// Creates a failure response of an agent. \a code is stable and read by programs.
inline WorkMessage::Failure makeFailure(RunState run, int status, std::string code,
                                        std::string message)
{
    WorkMessage::Failure failure;
    failure.run = run;
    failure.status = status;
    failure.code = std::move(code);
    failure.message = std::move(message);
    return failure;
}

/// Rejects a request that was never sent to the backend server and may run elsewhere.
inline WorkMessage::Failure rejectNotRun(std::string code, std::string message)
{
    return makeFailure(RunState::NotRun, 503, std::move(code), std::move(message));
}

/// Rejects a request that has crashed backend servers and must not be retried elsewhere.
inline WorkMessage::Failure quarantinedFailure()
{
    return makeFailure(RunState::NotRun, 422, "quarantined",
                       "backend servers crashed while they ran this request");
}

} // namespace Nutmegrill
