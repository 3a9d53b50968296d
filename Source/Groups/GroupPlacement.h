#pragma once

#include "Config/ModelGroup.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Checks and default of a placement of experts; slots[layer][rank] lists experts.
class GroupPlacement
{
public:
    using Slots = std::vector<std::vector<std::vector<std::uint32_t>>>;

    /// Fills the slots of all ranks with the experts in order, for a group that has no map.
    static Slots initial(const ModelGroup &group);

    /// Why a group cannot run the placement; empty when it can.
    static std::string validationError(const ModelGroup &group, const Slots &slots);
};

} // namespace Nutmegrill
