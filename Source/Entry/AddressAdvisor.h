#pragma once

#include "Core/InstanceRecord.h"
#include "Entry/EntryNode.h"

#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Names the entries that a caller may connect to.
class AddressAdvisor
{
public:
    void readInstances(const std::vector<InstanceRecord> &instances);

    /// An entry that is leaving although the instance list does not say so yet.
    void excludeLeaving(const std::string &entry) { this->leaving = entry; }

    /// Entries in order of preference for \a callerKey.
    std::vector<EntryNode::Address>
    entriesFor(const std::string &callerKey,
               const std::function<bool(const std::string &)> &isOut) const;

private:
    std::vector<InstanceRecord> entries;
    std::string leaving;
};

} // namespace Nutmegrill
