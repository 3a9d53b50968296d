#include "BaselinePolicies.h"

#include "Core/RandomSource.h"
#include "Relay/AdmissionInput.h"
#include "Relay/Exchange.h"
#include "Relay/RelayLimits.h"

#include <chrono>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Nutmegrill::BaselinePolicies {

namespace {

using std::chrono::milliseconds;

template <typename Value>
std::optional<std::string> lowestBy(const std::vector<PlacementCandidate> &candidates, Value value)
{
    const PlacementCandidate *best = nullptr;
    for (const PlacementCandidate &candidate : candidates) {
        if (best == nullptr || value(candidate) < value(*best))
            best = &candidate;
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

std::optional<std::string> roundRobinPlace(const std::vector<PlacementCandidate> &candidates,
                                           double, RandomSource &)
{
    return lowestBy(candidates, [](const auto &candidate) { return candidate.sends; });
}

std::optional<std::string> leastReportedPlace(const std::vector<PlacementCandidate> &candidates,
                                              double, RandomSource &)
{
    return lowestBy(candidates, [](const auto &candidate) { return candidate.reportedLoad; });
}

std::optional<std::string> powerOfTwoPlace(const std::vector<PlacementCandidate> &candidates,
                                           double, RandomSource &random)
{
    if (candidates.empty())
        return std::nullopt;
    const auto &first = candidates[random.below(candidates.size())];
    const auto &second = candidates[random.below(candidates.size())];
    return first.reportedLoad <= second.reportedLoad ? first.id : second.id;
}

bool arrivedBefore(const Exchange &left, const Exchange &right, Instant)
{
    return std::pair(left.arrivedAt, left.caller) < std::pair(right.arrivedAt, right.caller);
}

/// Refuses no request before its deadline.
std::string refuseAtDeadline(const AdmissionInput &input)
{
    return input.now > input.deadline - RelayLimits::MinAttemptTime ? "deadline" : "";
}

/// Policy of the previous version: refuses streams after a wait of 1.3 s and, in an outage, at once
/// the requests that arrive after its first 0.8 s.
std::string refusePreviousVersion(const AdmissionInput &input)
{
    static constexpr milliseconds MaxOutageWait{800};
    static constexpr milliseconds MaxStreamWait{1300};
    if (input.slots > 0 && input.outageSince
        && input.arrivedAt > *input.outageSince + MaxOutageWait)
        return "the service turns requests away";
    if (input.isStream && input.now + input.expectedWait > input.arrivedAt + MaxStreamWait)
        return "no place in time";
    return reasonToRefuse(input);
}

/// Policy of the previous version: a request counts as on time until its latency target has passed.
bool isServedBeforePreviousVersion(const Exchange &left, const Exchange &right, Instant now)
{
    const auto key = [now](const Exchange &exchange) {
        return std::make_tuple(!exchange.isStreamOpen, exchange.targetAt < now, exchange.priority,
                               exchange.accountOpenRequests, exchange.arrivedAt, exchange.caller);
    };
    return key(left) < key(right);
}

} // namespace

RelayPolicy previousVersion()
{
    return {placeRequest, isServedBeforePreviousVersion, refusePreviousVersion, false};
}

RelayPolicy roundRobin()
{
    RelayPolicy policy;
    policy.place = roundRobinPlace;
    return policy;
}

RelayPolicy leastReportedLoad()
{
    RelayPolicy policy;
    policy.place = leastReportedPlace;
    return policy;
}

RelayPolicy powerOfTwoChoices()
{
    RelayPolicy policy;
    policy.place = powerOfTwoPlace;
    return policy;
}

RelayPolicy firstComeFirstServed()
{
    RelayPolicy policy;
    policy.isServedBefore = arrivedBefore;
    policy.reasonToRefuse = refuseAtDeadline;
    policy.sharesSlots = false;
    return policy;
}

} // namespace Nutmegrill::BaselinePolicies
