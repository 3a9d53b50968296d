#pragma once

#include "Relay/RelayPolicy.h"

namespace Nutmegrill {

/// Policies that the present one is compared with.
namespace BaselinePolicies {

/// Before requests waited through an outage, and before the order of waiting requests took the time
/// to the first event into account.
RelayPolicy versionBefore();
RelayPolicy roundRobin();
RelayPolicy leastReportedLoad();
RelayPolicy powerOfTwoChoices();
/// Turns nothing away before its deadline.
RelayPolicy firstComeFirstServed();

} // namespace BaselinePolicies

} // namespace Nutmegrill
