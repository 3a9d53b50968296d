#include "Relay/BackendHealth.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Nutmegrill {

namespace {

/// Weight of the latest request in the smoothed share of failures.
constexpr double LatestWeight = 0.2;
/// The share loses half of its value in this time without requests, so that a backend server that
/// has recovered is tried again.
constexpr std::chrono::microseconds ShareHalfLife = std::chrono::seconds(3);
/// Failures in a row after which no request is sent for a while. Three in a row are rare (1 in 350)
/// for a backend server that fails one request in seven, as a sound one of the sheets does.
constexpr std::uint32_t FailuresBeforeSuspension = 3;
/// A crashed backend server is back after some seconds, so the first suspension is short and the
/// longest a few seconds.
constexpr std::chrono::milliseconds FirstSuspension{500};
constexpr std::uint32_t MostDoublings = 3;
/// Time after which the instance list shows that an address has a new owner.
constexpr std::chrono::seconds ReplacedSuspension{5};

} // namespace

void BackendHealth::noteSuccess(Instant now)
{
    this->share = this->failureShare(now) * (1 - LatestWeight);
    this->shareAt = now;
    this->failuresInRow = 0;
    this->suspensions = 0;
    this->suspendedUntil = Instant();
}

void BackendHealth::noteFailure(Instant now)
{
    this->share = this->failureShare(now) * (1 - LatestWeight) + LatestWeight;
    this->shareAt = now;
    if (++this->failuresInRow >= FailuresBeforeSuspension)
        this->suspend(now);
}

void BackendHealth::noteUnreachable(Instant now)
{
    this->share = this->failureShare(now) * (1 - LatestWeight) + LatestWeight;
    this->shareAt = now;
    // Several requests that fail together are one sign, not several.
    if (!this->isSuspended(now))
        this->suspend(now);
}

void BackendHealth::noteReplaced(Instant now)
{
    this->suspended = now;
    this->suspendedUntil = now + ReplacedSuspension;
}

double BackendHealth::failureShare(Instant now) const
{
    const double age = std::chrono::duration<double>(now - this->shareAt)
                       / std::chrono::duration<double>(ShareHalfLife);
    return this->share * std::exp2(-std::max(0.0, age));
}

void BackendHealth::suspend(Instant now)
{
    const std::uint32_t doublings = std::min(this->suspensions, MostDoublings);
    this->suspended = now;
    this->suspendedUntil = now + FirstSuspension * (1U << doublings);
    ++this->suspensions;
    this->failuresInRow = 0;
}

} // namespace Nutmegrill
