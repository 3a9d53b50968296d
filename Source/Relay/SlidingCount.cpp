#include "Relay/SlidingCount.h"

namespace Nutmegrill {

void SlidingCount::add(Instant now)
{
    this->uses.push_back(now);
}

std::uint32_t SlidingCount::count(Instant now)
{
    while (!this->uses.empty() && this->uses.front() + this->window <= now)
        this->uses.pop_front();
    return static_cast<std::uint32_t>(this->uses.size());
}

} // namespace Nutmegrill
