#pragma once

#include "Relay/RelayPolicy.h"

namespace Nutmegrill {

/// Policies that the current one is compared with.
namespace BaselinePolicies {

/// The previous policy: requests did not wait through an outage, and the order of waiting requests
/// did not consider the expected time to the first event.
RelayPolicy previousVersion();
RelayPolicy roundRobin();
RelayPolicy leastReportedLoad();
RelayPolicy powerOfTwoChoices();
/// Refuses no request before its deadline.
RelayPolicy firstComeFirstServed();

} // namespace BaselinePolicies

} // namespace Nutmegrill
