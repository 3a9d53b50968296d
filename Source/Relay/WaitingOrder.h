#pragma once

#include "Core/Time.h"

namespace Nutmegrill {

struct Exchange;

/// Whether the waiting request \a left gets a slot before \a right of the same service. Streams
/// that the caller already reads come first. Requests that are still expected to meet their latency
/// target come before those that are not, so that a backlog does not make every answer late. Ties
/// are decided by priority, then by fewer open requests of the client account, then by arrival.
bool isServedBefore(const Exchange &left, const Exchange &right, Instant now);

} // namespace Nutmegrill
