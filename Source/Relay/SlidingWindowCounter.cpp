#include "Relay/SlidingWindowCounter.h"

namespace Nutmegrill {

void SlidingWindowCounter::add(Instant now)
{
    this->times.push_back(now);
}

std::uint32_t SlidingWindowCounter::count(Instant now)
{
    while (!this->times.empty() && this->times.front() + this->window <= now)
        this->times.pop_front();
    return static_cast<std::uint32_t>(this->times.size());
}

} // namespace Nutmegrill
