#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Why a request that is late gets no second attempt.
enum class HedgeHold : std::uint8_t {
    Stopping,     ///< a planned stop has begun
    RunsOnce,     ///< the request may run only once
    NoRunsLeft,   ///< it has used the runs and sends that a request may have
    Suspect,      ///< it has broken an attempt or may crash backend servers
    NearDeadline, ///< too little time is left for another attempt
    Saturated,    ///< requests of the service wait, or few of its slots are free
    HedgeBudget,  ///< the share of requests that may have a second attempt is used up
    RetryBudget,  ///< the retry budget of the service is used up
    NoServer      ///< no other backend server takes it, outside of groups that stall or lost a rank
};

/// Name of the reason in log lines and metrics.
const char *nameOf(HedgeHold hold);

} // namespace Nutmegrill
