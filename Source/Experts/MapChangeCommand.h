#pragma once

#include "Experts/MapMessage.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Commands of the map change logic, executed by the I/O layer.
class MapChangeCommand
{
public:
    struct Send
    {
        MapMessage::Peer to = 0;
        MapMessage::Any message;
    };

    /// Loads the weights of a map beside those in use; answered by weightsStaged().
    struct StageWeights
    {
        MapChangeId change;
        ExpertMap map;
    };

    /// The engine runs \a step and all later steps with \a map.
    struct UseMap
    {
        ExpertMap map;
        std::uint64_t step = 0;
    };

    using Any = std::variant<Send, StageWeights, UseMap>;
    using List = std::vector<Any>;
};

} // namespace Nutmegrill
