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

    /// Names of the selected agents in name order. Leaving agents are not selected. The choice is a
    /// rendezvous hash of entry and agent, taken in turn from each failure domain, so that it
    /// changes little when an agent comes or goes.
    std::vector<std::string> select(std::string_view entry, std::string_view service,
                                    const std::vector<InstanceRecord> &instances) const;

private:
    std::size_t subsetSize;
};

} // namespace Nutmegrill
