#pragma once

#include <string>

namespace Nutmegrill {

/// Answer of an agent to the question which model group its backend server is a rank of.
struct GroupMembership
{
    /// Address of the backend server.
    std::string address;
    std::string group;
};

} // namespace Nutmegrill
