#pragma once

#include "Duties/DutyRecord.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// What an entry tells the others of its counts.
struct UsageMessage
{
    /// Peer address and start of the sender.
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// True time of the sending: all that ran before is counted.
    std::chrono::system_clock::time_point toldAt;
    /// Whole counts by window.
    std::map<std::uint64_t, AccountCounts> windows;
};

} // namespace Nutmegrill
