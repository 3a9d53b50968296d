#pragma once

#include "Config/Configuration.h"
#include "Messages/PeerMessage.h"

#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Merges pending take-outs into the stored configuration, one attempt at a time for each change.
class TakeOutWriter
{
public:
    TakeOutWriter(EventLoop &loop, StoreClient &store) : loop(loop), store(store) {}

    /// The take-out that an operator asks for in {"failureDomain", "changeId"}, with the epoch
    /// after that of \a configuration; nullopt when there is no such failure domain.
    static std::optional<PeerMessage::PendingTakeOut> parse(const std::string &body,
                                                            const ConfigurationPtr &configuration);

    void write(const PeerMessage::PendingTakeOut &takeOut);

private:
    EventLoop &loop;
    StoreClient &store;
    std::set<std::string> running;
};

} // namespace Nutmegrill
