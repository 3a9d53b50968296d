#include "Experts/ExpertMap.h"

namespace Nutmegrill {

std::string describeMap(const ExpertMap &map)
{
    std::string text = "epoch " + std::to_string(map.epoch);
    for (const auto &layer : map.slots) {
        text += " |";
        for (const auto &rank : layer) {
            text += " [";
            for (std::size_t slot = 0; slot < rank.size(); ++slot)
                text += (slot == 0 ? "" : " ") + std::to_string(rank[slot]);
            text += "]";
        }
    }
    return text;
}

} // namespace Nutmegrill
