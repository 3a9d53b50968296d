#include "Relay/Admission.h"

#include "Relay/AdmissionInput.h"
#include "Relay/RelayLimits.h"

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

std::string reasonToRefuse(const AdmissionInput &input)
{
    if (input.slots == 0)
        return "no usable backend server";
    if (input.outageSince && input.now > *input.outageSince + MaxOutageWait)
        return "the service turns requests away";
    const Instant latestStart =
            input.isStream ? input.arrivedAt + MaxStreamSilence - input.expectedDelay
                           : input.arrivedAt + MaxCallWaitTargets * input.latencyTarget;
    if (input.now + input.expectedWait
        > std::min(latestStart, input.deadline - RelayLimits::MinAttemptTime))
        return "no place in time";
    return {};
}

} // namespace Nutmegrill
