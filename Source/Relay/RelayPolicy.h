#pragma once

#include "Core/Time.h"
#include "Relay/Placement.h"
#include "Relay/WaitLimit.h"
#include "Relay/WaitingOrder.h"

#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class RandomSource;
struct Exchange;
struct WaitFacts;

/// The decisions about waiting requests of a RelayNode, as a table. Measurements exchange single
/// ones for a baseline.
struct RelayPolicy
{
    /// Which backend server a request goes to; nothing when it has to wait.
    std::optional<std::string> (*place)(const std::vector<PlacementCandidate> &candidates,
                                        RandomSource &random) = placeRequest;
    /// Which of two waiting requests is offered a place first.
    bool (*isServedBefore)(const Exchange &left, const Exchange &right,
                           Instant now) = Nutmegrill::isServedBefore;
    /// Why a waiting request is turned away; empty when it goes on waiting.
    std::string (*reasonToRefuse)(const WaitFacts &facts) = Nutmegrill::reasonToRefuse;
};

} // namespace Nutmegrill
