#pragma once

#include "Entry/BackendTable.h"
#include "Entry/RequestTable.h"
#include "Entry/RoutePolicy.h"
#include "Membership/ConfigurationSpread.h"

#include <memory>
#include <string>

namespace Nutmegrill {

/// Selects the agent that runs a request.
class Router
{
public:
    explicit Router(const EntrySettings &settings);

    /// Returns null when no agent can take the request now. A suspect only goes to an idle agent,
    /// because agents run a suspect alone.
    BackendTable::Row *choose(Instant now, const RequestTable::Row &request, bool suspect,
                              BackendTable &backends, const ConfigurationSpread &spread);

    /// Whether any agent of the service has a credit.
    bool hasCredit(Instant now, const std::string &service, const BackendTable &backends,
                   const ConfigurationSpread &spread) const;

    /// Projected KV cache size of the request at the end of its answer.
    static std::uint64_t projectedKvBytes(const WorkMessage::Request &request,
                                          const ConfigurationSpread &spread);

private:
    bool isUsable(Instant now, const BackendTable::Row &row, const std::string &service,
                  const ConfigurationSpread &spread) const;

    EntrySwitches switches;
    RandomSource random;
    std::unique_ptr<RoutePolicy> policy;
};

} // namespace Nutmegrill
