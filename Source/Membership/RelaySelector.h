#pragma once

#include "Core/InstanceRecord.h"

#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Selects the relays of each failure domain: entries that watch the store on behalf of the others.
class RelaySelector
{
public:
    /// Names of the relays of \a failureDomain: the two live entries with the highest rendezvous
    /// weight.
    static std::vector<std::string> relaysOf(std::string_view failureDomain,
                                             const std::vector<InstanceRecord> &instances);

    static bool isRelay(const std::string &entry, std::string_view failureDomain,
                        const std::vector<InstanceRecord> &instances);
};

} // namespace Nutmegrill
