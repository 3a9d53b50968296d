#pragma once

#include "Core/RandomSource.h"
#include "Entry/BackendTable.h"
#include "Entry/EntrySettings.h"
#include "Messages/WorkMessage.h"

#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Chooses one of the agents that can take a request now.
class RoutePolicy
{
public:
    using Candidates = std::vector<const BackendTable::Row *>;

    virtual ~RoutePolicy() = default;

    /// \a candidates must not be empty and is sorted by agent name.
    virtual const BackendTable::Row *choose(const WorkMessage::Request &request,
                                            const Candidates &candidates, RandomSource &random) = 0;

    static std::unique_ptr<RoutePolicy> make(EntrySettings::RoutePolicy policy,
                                             const std::string &ownDomain);
};

} // namespace Nutmegrill
