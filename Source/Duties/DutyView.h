#pragma once

#include "Duties/DutyRecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// What a process knows of a duty from its copy of the store.
struct DutyView
{
    /// Start of the process whose lease the lock is under; nullopt if nobody has the lock.
    std::optional<std::string> lockOwner;
    DutyRecord record;
    /// Revision of the record; 0 if there is none.
    std::uint64_t recordRevision = 0;
};

} // namespace Nutmegrill
