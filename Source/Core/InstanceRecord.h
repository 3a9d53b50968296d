#pragma once

#include <string>

namespace Nutmegrill {

/// One row of the platform's instance list.
struct InstanceRecord
{
    enum class Role { Entry, Agent };

    std::string name;
    Role role = Role::Entry;
    /// IP number and port for peers (agents) or callers (entries).
    std::string address;
    std::string failureDomain;
    /// Service of the backend server beside an agent; empty for entries.
    std::string service;
    bool leaving = false;

    bool operator==(const InstanceRecord &) const = default;
};

} // namespace Nutmegrill
