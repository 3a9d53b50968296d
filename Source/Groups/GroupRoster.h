#pragma once

#include "Config/ModelGroup.h"
#include "Core/InstanceRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Assigns agents to the ranks of a model group: the agents of the group's service in its
/// failure domain, in order of their names.
class GroupRoster
{
public:
    struct Member
    {
        std::string name;
        std::string address;

        bool operator==(const Member &) const = default;
    };

    /// Updates the roster from an instance list. The first list with as many agents as the group
    /// has ranks fixes the names; later ones change addresses only. Processes that read different
    /// lists during a replacement would otherwise number the ranks differently. An agent that
    /// replaces another one therefore takes over its name. Returns whether the roster changed.
    bool update(const ModelGroup &group, const std::vector<InstanceRecord> &instances);

    bool isComplete() const { return !this->rows.empty(); }
    const std::vector<Member> &members() const { return this->rows; }
    std::map<std::string, std::string> addresses() const;
    std::optional<std::uint32_t> rankOf(const std::string &name) const;

    /// Entries that compete for the ownership of the group. A few are enough, and each costs the
    /// store a read per second.
    static std::vector<std::string> ownerCandidates(const ModelGroup &group,
                                                    const std::vector<InstanceRecord> &instances);

private:
    std::vector<Member> rows;
};

} // namespace Nutmegrill
