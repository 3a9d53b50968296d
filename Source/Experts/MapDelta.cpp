#include "Experts/MapDelta.h"

namespace Nutmegrill {

std::optional<MapDelta> MapDelta::between(std::uint64_t base, const ExpertSlots &before,
                                          const ExpertSlots &after)
{
    if (before.size() != after.size())
        return std::nullopt;
    MapDelta delta;
    delta.base = base;
    for (std::size_t layer = 0; layer < after.size(); ++layer) {
        if (before[layer].size() != after[layer].size())
            return std::nullopt;
        for (std::size_t rank = 0; rank < after[layer].size(); ++rank) {
            if (before[layer][rank] != after[layer][rank])
                delta.entries.push_back({static_cast<std::uint32_t>(layer),
                                         static_cast<std::uint32_t>(rank), after[layer][rank]});
        }
    }
    return delta;
}

std::optional<ExpertSlots> MapDelta::applyTo(const ExpertSlots &before) const
{
    ExpertSlots after = before;
    for (const auto &[layer, rank, experts] : this->entries) {
        if (layer >= after.size() || rank >= after[layer].size())
            return std::nullopt;
        after[layer][rank] = experts;
    }
    return after;
}

std::size_t MapDelta::packedSize() const
{
    // Layer, rank, length, and experts of up to two bytes.
    std::size_t size = 0;
    for (const Entry &entry : this->entries)
        size += 6 + 3 * entry.experts.size();
    return size;
}

} // namespace Nutmegrill
