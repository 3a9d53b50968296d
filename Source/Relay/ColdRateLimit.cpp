#include "Relay/ColdRateLimit.h"

#include <algorithm>

namespace Nutmegrill {

bool ColdRateLimit::hasCapacity(Instant now, double perSecond, std::uint32_t entries)
{
    // With more entries than requests a second, only some of them may send; see
    // EntryTable::isAmongChosen().
    const auto allowed = std::max(1.0, perSecond / entries);
    return this->sent.count(now) + 1 <= allowed;
}

bool ColdRateLimit::tryAcquire(Instant now, double perSecond, std::uint32_t entries)
{
    if (!this->hasCapacity(now, perSecond, entries))
        return false;
    this->sent.add(now);
    return true;
}

} // namespace Nutmegrill
