#include "Relay/RetryShare.h"

namespace Nutmegrill {

namespace {

/// Part of the retry limit that is used. The rest covers requests that are counted in another
/// window at the backend servers than here, and entries that join.
constexpr double RetryMargin = 0.7;

} // namespace

RetryShare::RetryShare(const Limit &limit, std::chrono::microseconds window)
    : limit(limit), first(window), repeats(window)
{}

bool RetryShare::take(Instant now, std::uint32_t entries)
{
    const double allowed =
            RetryMargin
            * (this->limit.ratio * this->first.count(now) + this->limit.allowance / entries);
    if (this->repeats.count(now) + 1 > allowed)
        return false;
    this->repeats.add(now);
    return true;
}

} // namespace Nutmegrill
