#include "Relay/WaitLimit.h"

#include "Relay/RelayLimits.h"
#include "Relay/WaitFacts.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Callers disconnect from a stream after two seconds without an event; the difference covers the
/// delivery of the first event.
constexpr milliseconds MaxStreamSilence{1950};
/// Longest wait of a request that is not a stream, as a multiple of the latency target.
constexpr std::uint32_t MaxCallWaitTargets = 2;
/// Requests do not wait for a service that has rejected requests for longer. A group that loses a
/// rank for a moment stalls for 1.5 s and forms again within two more seconds.
constexpr milliseconds MaxOutageWait{4000};

} // namespace

std::string reasonToRefuse(const WaitFacts &facts)
{
    if (facts.places == 0)
        return "no usable backend server";
    if (facts.outageSince && facts.now > *facts.outageSince + MaxOutageWait)
        return "the service turns requests away";
    const Instant latestStart =
            facts.isStream ? facts.arrivedAt + MaxStreamSilence - facts.expectedDelay
                           : facts.arrivedAt + MaxCallWaitTargets * facts.latencyTarget;
    if (facts.now + facts.expectedWait
        > std::min(latestStart, facts.deadline - RelayLimits::LeastAttemptTime))
        return "no place in time";
    return {};
}

} // namespace Nutmegrill
