#pragma once

#include "Core/Time.h"
#include "Relay/SlidingCount.h"

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// This entry's part of the requests a second that a cold backend server bears.
class ColdShare
{
public:
    ColdShare() : sent(std::chrono::seconds(1)) {}

    /// Takes one start; false when this entry's part of \a perSecond is used up.
    bool take(Instant now, double perSecond, std::uint32_t entries);
    bool hasRoom(Instant now, double perSecond, std::uint32_t entries);

private:
    SlidingCount sent;
};

} // namespace Nutmegrill
