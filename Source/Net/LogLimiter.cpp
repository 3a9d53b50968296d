#include "Net/LogLimiter.h"

#include <chrono>
#include <utility>

namespace Nutmegrill {

bool LogLimiter::admit(Instant now, bool isUrgent)
{
    if (now >= this->windowEnd) {
        this->windowEnd = now + std::chrono::seconds(1);
        this->written = 0;
        this->droppedBefore += std::exchange(this->dropped, 0);
    }
    const std::uint32_t limit = isUrgent ? LinesPerSecond : LinesPerSecond - ReservedLines;
    if (this->written >= limit) {
        ++this->dropped;
        return false;
    }
    ++this->written;
    return true;
}

std::uint32_t LogLimiter::takeDropped()
{
    return std::exchange(this->droppedBefore, 0);
}

} // namespace Nutmegrill
