#pragma once

#include "Config/Configuration.h"
#include "Messages/PeerMessage.h"

#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Merges pending take-outs into the stored configuration, with one publication at a time for each
/// change.
class TakeOutWriter
{
public:
    TakeOutWriter(EventLoop &loop, StoreClient &store) : loop(loop), store(store) {}

    /// Parses a take-out request {"failureDomain", "changeId"} of an operator. The epoch is one
    /// above that in \a configuration. Returns nullopt when the failure domain does not exist.
    static std::optional<PeerMessage::PendingTakeOut> parse(const std::string &body,
                                                            const ConfigurationPtr &configuration);

    void write(const PeerMessage::PendingTakeOut &takeOut);

private:
    EventLoop &loop;
    StoreClient &store;
    std::set<std::string> openChangeIds;
};

} // namespace Nutmegrill
