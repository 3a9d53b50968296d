#include "BaselinePolicies.h"

#include "Core/RandomSource.h"
#include "Relay/Exchange.h"
#include "Relay/RelayLimits.h"
#include "Relay/WaitFacts.h"

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
std::optional<std::string> lowest(const std::vector<PlacementCandidate> &candidates, Value value)
{
    const PlacementCandidate *best = nullptr;
    for (const PlacementCandidate &candidate : candidates) {
        if (best == nullptr || value(candidate) < value(*best))
            best = &candidate;
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

std::optional<std::string> roundRobinPlace(const std::vector<PlacementCandidate> &candidates,
                                           RandomSource &)
{
    return lowest(candidates, [](const auto &candidate) { return candidate.sends; });
}

std::optional<std::string> leastReportedPlace(const std::vector<PlacementCandidate> &candidates,
                                              RandomSource &)
{
    return lowest(candidates, [](const auto &candidate) { return candidate.statedLoad; });
}

std::optional<std::string> powerOfTwoPlace(const std::vector<PlacementCandidate> &candidates,
                                           RandomSource &random)
{
    if (candidates.empty())
        return std::nullopt;
    const auto &first = candidates[random.below(candidates.size())];
    const auto &second = candidates[random.below(candidates.size())];
    return first.statedLoad <= second.statedLoad ? first.id : second.id;
}

bool firstCome(const Exchange &left, const Exchange &right, Instant)
{
    return std::pair(left.arrivedAt, left.caller) < std::pair(right.arrivedAt, right.caller);
}

/// Turns nothing away before its deadline.
std::string untilDeadline(const WaitFacts &facts)
{
    return facts.now > facts.deadline - RelayLimits::LeastAttemptTime ? "deadline" : "";
}

/// The version before: turned requests away after 1.3 s, and in an outage at once when they came
/// after its first 0.8 s.
std::string refuseBefore(const WaitFacts &facts)
{
    static constexpr milliseconds OutageWait{800};
    static constexpr milliseconds StreamWait{1300};
    if (facts.places > 0 && facts.outageSince && facts.arrivedAt > *facts.outageSince + OutageWait)
        return "the service turns requests away";
    if (facts.isStream && facts.now + facts.expectedWait > facts.arrivedAt + StreamWait)
        return "no place in time";
    return reasonToRefuse(facts);
}

/// The version before: a request counted as on time until the target itself had passed.
bool orderBefore(const Exchange &left, const Exchange &right, Instant now)
{
    const auto key = [now](const Exchange &exchange) {
        return std::make_tuple(!exchange.streamOpen, exchange.targetAt < now, exchange.priority,
                               exchange.accountRank, exchange.arrivedAt, exchange.caller);
    };
    return key(left) < key(right);
}

} // namespace

RelayPolicy versionBefore()
{
    return {placeRequest, orderBefore, refuseBefore};
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
    policy.isServedBefore = firstCome;
    policy.reasonToRefuse = untilDeadline;
    return policy;
}

} // namespace Nutmegrill::BaselinePolicies
