#pragma once

#include "Core/Time.h"
#include "Relay/Admission.h"
#include "Relay/Placement.h"
#include "Relay/WaitingOrder.h"

#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class RandomSource;
struct Exchange;
struct AdmissionInput;

/// Replaceable decisions of a RelayNode about waiting requests. Measurements replace single ones
/// with a baseline.
struct RelayPolicy
{
    /// Chooses the backend server for a request; nothing when the request has to wait.
    std::optional<std::string> (*place)(const std::vector<PlacementCandidate> &candidates,
                                        double replacedShare, RandomSource &random) = placeRequest;
    /// Whether \a left gets a slot before \a right.
    bool (*isServedBefore)(const Exchange &left, const Exchange &right,
                           Instant now) = Nutmegrill::isServedBefore;
    /// Why a waiting request is refused; empty when it may continue to wait.
    std::string (*reasonToRefuse)(const AdmissionInput &input) = Nutmegrill::reasonToRefuse;
    /// The slots that become free are shared among the entries by urgency, see SlotBudget.
    bool sharesSlots = true;
};

} // namespace Nutmegrill
