#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace Nutmegrill {

/// Identifies one attempt to change the expert map. Ids are ordered, and a rank that has refused an
/// id refuses every lower one.
struct MapChangeId
{
    /// Lease revision of the owner; a later owner has a higher one.
    std::uint64_t fence = 0;
    /// Counts the changes of one owner.
    std::uint64_t number = 0;

    bool operator==(const MapChangeId &) const = default;
    std::strong_ordering operator<=>(const MapChangeId &other) const
    {
        return std::tie(this->fence, this->number) <=> std::tie(other.fence, other.number);
    }
};

} // namespace Nutmegrill
