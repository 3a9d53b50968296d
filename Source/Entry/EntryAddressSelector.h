#pragma once

#include "Core/InstanceRecord.h"
#include "Entry/EntryNode.h"

#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Selects the entries that a caller may connect to.
class EntryAddressSelector
{
public:
    void updateInstances(const std::vector<InstanceRecord> &instances);

    /// Excludes an entry that is leaving before the instance list shows it as leaving.
    void excludeLeaving(const std::string &entry) { this->leavingEntry = entry; }

    /// Returns the entries in order of preference for \a callerKey. \a isOut tells whether a
    /// failure domain is out.
    std::vector<EntryNode::Address>
    entriesFor(const std::string &callerKey,
               const std::function<bool(const std::string &)> &isOut) const;

private:
    std::vector<InstanceRecord> entries;
    std::string leavingEntry;
};

} // namespace Nutmegrill
