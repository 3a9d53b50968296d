#include "Groups/GroupPlacement.h"

#include <algorithm>
#include <cstddef>
#include <set>

namespace Nutmegrill {

GroupPlacement::Slots GroupPlacement::initial(const ModelGroup &group)
{
    std::vector<std::vector<std::uint32_t>> layer(group.ranks);
    const std::uint32_t perRank = std::min(group.slotsPerRank, group.expertsPerLayer);
    for (std::uint32_t rank = 0; rank < group.ranks; ++rank) {
        for (std::uint32_t slot = 0; slot < perRank; ++slot)
            layer[rank].push_back((rank * perRank + slot) % group.expertsPerLayer);
    }
    return Slots(group.layers, layer);
}

std::string GroupPlacement::validationError(const ModelGroup &group, const Slots &slots)
{
    if (slots.size() != group.layers)
        return "the map has " + std::to_string(slots.size()) + " layers, the group "
               + std::to_string(group.layers);
    for (std::size_t layer = 0; layer < slots.size(); ++layer) {
        const std::string where = "layer " + std::to_string(layer);
        if (slots[layer].size() != group.ranks)
            return where + " has " + std::to_string(slots[layer].size()) + " ranks, the group "
                   + std::to_string(group.ranks);
        std::set<std::uint32_t> placed;
        for (const auto &experts : slots[layer]) {
            if (experts.size() > group.slotsPerRank)
                return where + ": a rank has more than " + std::to_string(group.slotsPerRank)
                       + " experts";
            placed.insert(experts.begin(), experts.end());
        }
        if (placed.size() != group.expertsPerLayer || *placed.rbegin() >= group.expertsPerLayer)
            return where + " must hold each of the experts 0 to "
                   + std::to_string(group.expertsPerLayer - 1);
    }
    return {};
}

} // namespace Nutmegrill
