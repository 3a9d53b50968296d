#include "Entry/EntryAddressSelector.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Nutmegrill {

void EntryAddressSelector::updateInstances(const std::vector<InstanceRecord> &instances)
{
    this->entries.clear();
    for (const InstanceRecord &instance : instances) {
        if (instance.role == InstanceRecord::Role::Entry)
            this->entries.push_back(instance);
    }
}

std::vector<EntryNode::Address>
EntryAddressSelector::entriesFor(const std::string &callerKey,
                                 const std::function<bool(const std::string &)> &isOut) const
{
    std::vector<std::pair<std::uint64_t, const InstanceRecord *>> ordered;
    for (const InstanceRecord &entry : this->entries) {
        if (!entry.leaving && entry.name != this->leavingEntry && !isOut(entry.failureDomain))
            ordered.emplace_back(rendezvousWeight(callerKey, entry.name), &entry);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<EntryNode::Address> addresses;
    addresses.reserve(ordered.size());
    for (const auto &[weight, entry] : ordered)
        addresses.push_back({entry->address, entry->failureDomain});
    return addresses;
}

} // namespace Nutmegrill
