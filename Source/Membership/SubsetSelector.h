#pragma once

#include "Core/InstanceRecord.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Selects the agents of one service that an entry links to.
class SubsetSelector
{
public:
    explicit SubsetSelector(std::size_t subsetSize) : subsetSize(subsetSize) {}

    /// Returns the selected agents sorted by name. Agents that are leaving are not selected. Agents
    /// are ranked by rendezvous hashing and taken from the failure domains in turn, so that the
    /// subset changes little when an agent joins or leaves.
    std::vector<std::string> select(std::string_view entry, std::string_view service,
                                    const std::vector<InstanceRecord> &instances) const;

private:
    std::size_t subsetSize;
};

} // namespace Nutmegrill
