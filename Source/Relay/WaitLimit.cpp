#include "Relay/WaitLimit.h"

#include "Relay/RelayLimits.h"
#include "Relay/WaitFacts.h"

#include <algorithm>
#include <chrono>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Callers leave a stream that shows no event for two seconds; the rest is for the way of the first
/// event to them.
constexpr milliseconds LongestSilence{1950};
/// A plain call waits for a place at most as long as it is still answered on time, twice.
constexpr std::uint32_t CallWaitTargets = 2;
/// A service that has turned requests away for this long is not waited for: a group that lost a
/// rank for a moment stalls 1.5 s and forms again within two seconds more.
constexpr milliseconds LongestOutage{4000};

} // namespace

std::string reasonToRefuse(const WaitFacts &facts)
{
    if (facts.places == 0)
        return "no usable backend server";
    if (facts.outageSince && facts.now > *facts.outageSince + LongestOutage)
        return "the service turns requests away";
    const Instant latest = facts.isStream ? facts.arrivedAt + LongestSilence - facts.expectedDelay
                                          : facts.arrivedAt + CallWaitTargets * facts.latencyTarget;
    if (facts.now + facts.expectedWait
        > std::min(latest, facts.deadline - RelayLimits::LeastAttemptTime))
        return "no place in time";
    return {};
}

} // namespace Nutmegrill
