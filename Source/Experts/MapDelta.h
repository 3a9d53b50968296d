#pragma once

#include "Experts/PackedMap.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Difference of an expert map to an earlier one, its base.
struct MapDelta
{
    /// New experts of a rank in a layer.
    struct Entry
    {
        std::uint32_t layer = 0;
        std::uint32_t rank = 0;
        std::vector<std::uint32_t> experts;

        bool operator==(const Entry &) const = default;
    };

    /// Version of the base.
    std::uint64_t base = 0;
    std::vector<Entry> entries;

    bool operator==(const MapDelta &) const = default;

    /// nullopt if the maps differ in size. The experts of a rank are in ascending order.
    static std::optional<MapDelta> between(std::uint64_t base, const ExpertSlots &before,
                                           const ExpertSlots &after);

    /// The map that the difference makes of \a before; nullopt if it doesn't fit.
    std::optional<ExpertSlots> applyTo(const ExpertSlots &before) const;

    /// Size of the difference in messages, about.
    std::size_t packedSize() const;
};

} // namespace Nutmegrill
