#include "Net/LogLimiter.h"

#include <chrono>
#include <utility>

namespace Nutmegrill {

bool LogLimiter::admit(Instant now, bool isUrgent)
{
    if (now >= this->windowEnd) {
        this->windowEnd = now + std::chrono::seconds(1);
        this->written = 0;
        this->droppedInPastWindows += std::exchange(this->dropped, 0);
    }
    const std::uint32_t reserved = isUrgent ? 0 : this->limit / UrgentReserveDivisor;
    if (this->written >= this->limit - reserved) {
        ++this->dropped;
        return false;
    }
    ++this->written;
    return true;
}

std::uint32_t LogLimiter::takeDropped()
{
    return std::exchange(this->droppedInPastWindows, 0);
}

} // namespace Nutmegrill
