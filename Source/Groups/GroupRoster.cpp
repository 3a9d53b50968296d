#include "Groups/GroupRoster.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

namespace Nutmegrill {

namespace {

// One candidate remains if two fail before the next update of the instance list.
constexpr std::size_t CandidateCount = 3;

} // namespace

bool GroupRoster::update(const ModelGroup &group, const std::vector<InstanceRecord> &instances)
{
    std::vector<Member> found;
    for (const InstanceRecord &row : instances) {
        if (row.role == InstanceRecord::Role::Agent && row.service == group.service
            && row.failureDomain == group.failureDomain)
            found.push_back({row.name, row.address});
    }
    if (found.size() != group.ranks)
        return false;
    std::sort(found.begin(), found.end(),
              [](const Member &a, const Member &b) { return a.name < b.name; });
    const bool sameNames =
            std::equal(found.begin(), found.end(), this->rows.begin(), this->rows.end(),
                       [](const Member &a, const Member &b) { return a.name == b.name; });
    if (found == this->rows || (this->isComplete() && !sameNames))
        return false;
    this->rows = std::move(found);
    return true;
}

std::map<std::string, std::string> GroupRoster::addresses() const
{
    std::map<std::string, std::string> byName;
    for (const Member &row : this->rows)
        byName[row.name] = row.address;
    return byName;
}

std::optional<std::uint32_t> GroupRoster::rankOf(const std::string &name) const
{
    const auto found = std::find_if(this->rows.begin(), this->rows.end(),
                                    [&name](const Member &row) { return row.name == name; });
    if (found == this->rows.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - this->rows.begin());
}

std::vector<std::string> GroupRoster::ownerCandidates(const ModelGroup &group,
                                                      const std::vector<InstanceRecord> &instances)
{
    std::vector<std::pair<std::uint64_t, std::string>> weightedNames;
    for (const InstanceRecord &row : instances) {
        if (row.role == InstanceRecord::Role::Entry && !row.leaving)
            weightedNames.emplace_back(rendezvousWeight(group.name, row.name), row.name);
    }
    std::sort(weightedNames.begin(), weightedNames.end(), std::greater<>());
    std::vector<std::string> names;
    for (std::size_t index = 0; index < std::min(CandidateCount, weightedNames.size()); ++index)
        names.push_back(weightedNames[index].second);
    return names;
}

} // namespace Nutmegrill
