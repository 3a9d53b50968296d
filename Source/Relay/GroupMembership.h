#pragma once

#include "Membership/SlowRank.h"

#include <string>
#include <vector>

namespace Nutmegrill {

/// Answer of an agent to the question which model group its backend server is a rank of. The hub of
/// a group also sends it unasked while a rank is slow.
struct GroupMembership
{
    /// Address of the backend server.
    std::string address;
    std::string group;
    /// Ranks of the group that are slow, or were until just now; only from the hub.
    std::vector<SlowRank> slowRanks = {};
};

} // namespace Nutmegrill
