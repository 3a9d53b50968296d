#pragma once

#include "Config/FailureDomainState.h"

#include <string>
#include <vector>

namespace Nutmegrill {

/// A region with its failure domains.
struct Place
{
    std::string name;
    std::vector<FailureDomainState> failureDomains;

    bool operator==(const Place &) const = default;
};

} // namespace Nutmegrill
