#include "Relay/ServiceRetryBudget.h"

namespace Nutmegrill {

namespace {

/// Share of the retry limit that is used. The rest covers entries that join, and requests that the
/// backend servers count in another window than the entry.
constexpr double MaxUtilization = 0.7;

} // namespace

ServiceRetryBudget::ServiceRetryBudget(const Limit &limit, std::chrono::microseconds window)
    : limit(limit), requests(window), repeats(window)
{}

bool ServiceRetryBudget::hasCapacity(Instant now, std::uint32_t entries)
{
    const double allowed =
            MaxUtilization
            * (this->limit.ratio * this->requests.count(now) + this->limit.allowance / entries);
    return this->repeats.count(now) + 1 <= allowed;
}

bool ServiceRetryBudget::tryAcquire(Instant now, std::uint32_t entries)
{
    if (!this->hasCapacity(now, entries))
        return false;
    this->repeats.add(now);
    return true;
}

} // namespace Nutmegrill
