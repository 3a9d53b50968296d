#pragma once

#include <cstdint>
#include <tuple>

namespace Nutmegrill {

/// A point in the history of the store. A store that comes back from an older copy gives out
/// revisions again, so they are comparable within one generation only.
struct StorePosition
{
    /// Rises each time the store comes back from a copy.
    std::uint64_t generation = 0;
    std::uint64_t revision = 0;

    bool operator==(const StorePosition &other) const = default;
    bool operator<(const StorePosition &other) const
    {
        return std::tie(this->generation, this->revision)
               < std::tie(other.generation, other.revision);
    }
};

} // namespace Nutmegrill
