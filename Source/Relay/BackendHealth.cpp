#include "Relay/BackendHealth.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Nutmegrill {

namespace {

/// Weight of the latest request in the smoothed share of failures.
constexpr double SmoothingFactor = 0.2;
/// Half-life of the failure share without requests, so that a backend server that has recovered is
/// tried again.
constexpr std::chrono::microseconds FailureShareHalfLife = std::chrono::seconds(3);
/// Consecutive failures that suspend a backend server. Healthy backend servers may fail one request
/// in seven; for these, three consecutive failures are rare (1 in 350).
constexpr std::uint32_t FailuresBeforeSuspension = 3;
/// A crashed backend server is back after some seconds: suspensions start short and double up to a
/// few seconds.
constexpr std::chrono::milliseconds MinSuspension{500};
constexpr std::uint32_t MaxDoublings = 3;
/// Time until the instance list shows that an address now belongs to another backend server.
constexpr std::chrono::seconds ReplacedSuspension{5};

} // namespace

void BackendHealth::recordSuccess(Instant now)
{
    this->share = this->failureShare(now) * (1 - SmoothingFactor);
    this->shareUpdatedAt = now;
    this->consecutiveFailures = 0;
    this->suspensions = 0;
    this->suspendedUntil = Instant();
}

void BackendHealth::recordFailure(Instant now)
{
    this->share = this->failureShare(now) * (1 - SmoothingFactor) + SmoothingFactor;
    this->shareUpdatedAt = now;
    if (++this->consecutiveFailures >= FailuresBeforeSuspension)
        this->suspend(now);
}

void BackendHealth::recordUnreachable(Instant now)
{
    this->share = this->failureShare(now) * (1 - SmoothingFactor) + SmoothingFactor;
    this->shareUpdatedAt = now;
    // Requests that fail together have one cause and lengthen the suspension only once.
    if (!this->isSuspended(now))
        this->suspend(now);
}

void BackendHealth::recordReplaced(Instant now)
{
    this->suspendedAt = now;
    this->suspendedUntil = now + ReplacedSuspension;
}

double BackendHealth::failureShare(Instant now) const
{
    const double age = std::chrono::duration<double>(now - this->shareUpdatedAt)
                       / std::chrono::duration<double>(FailureShareHalfLife);
    return this->share * std::exp2(-std::max(0.0, age));
}

void BackendHealth::suspend(Instant now)
{
    const std::uint32_t doublings = std::min(this->suspensions, MaxDoublings);
    this->suspendedAt = now;
    this->suspendedUntil = now + MinSuspension * (1U << doublings);
    ++this->suspensions;
    this->consecutiveFailures = 0;
}

} // namespace Nutmegrill
