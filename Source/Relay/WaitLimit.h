#pragma once

#include <string>

namespace Nutmegrill {

struct WaitFacts;

/// Why a request that has no place is turned away now; empty when it may go on waiting. Load
/// patterns: more requests than places, where a request is turned away at once if no place becomes
/// free in time; and a service that turns everything away because a model group has lost a rank,
/// where requests wait through an outage of the usual length, because most callers come back only
/// once and would then find the same outage.
std::string reasonToRefuse(const WaitFacts &facts);

} // namespace Nutmegrill
