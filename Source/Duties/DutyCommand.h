#pragma once

#include "Duties/DutyRecord.h"

#include <cstdint>
#include <variant>

namespace Nutmegrill {

/// Calls to the store that a DutyLease asks for. One is open at a time; its result goes to
/// DutyLease::resultArrived().
namespace DutyCommand {

struct GrantLease
{};

/// Creates the lock, which must not exist, under the lease.
struct CreateLock
{
    std::uint64_t lease = 0;
};

/// Replaces the record if it still has the expected revision.
struct WriteRecord
{
    DutyRecord record;
    std::uint64_t expected = 0;
};

struct RenewLease
{
    std::uint64_t lease = 0;
};

using Any = std::variant<GrantLease, CreateLock, WriteRecord, RenewLease>;

} // namespace DutyCommand

} // namespace Nutmegrill
