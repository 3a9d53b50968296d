#pragma once

#include "Core/Time.h"

namespace Nutmegrill {

struct Exchange;

/// Which of two waiting requests of a service is offered a place first. Load pattern: more requests
/// than places for some seconds. A stream that is open at its caller goes first, because the caller
/// already reads it. Requests that are expected to be on time if they start now go before those
/// that are not, so that a backlog does not make every answer late. Among equals the more urgent
/// goes first, then the client account with fewer open requests, then the one that came first.
bool isServedBefore(const Exchange &left, const Exchange &right, Instant now);

} // namespace Nutmegrill
