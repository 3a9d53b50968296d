#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Identifies the model group whose ranks an agent exchanges states and maps with. A service can
/// have several groups, each with a rank of every number. A group that changes its size forms
/// again, so the size belongs to its identity.
struct GroupIdentity
{
    std::string name;
    std::uint32_t ranks = 0;

    bool operator==(const GroupIdentity &) const = default;
};

} // namespace Nutmegrill
