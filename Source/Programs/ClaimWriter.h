#pragma once

#include "Agent/AgentOrder.h"
#include "Core/Time.h"

#include <cstdint>
#include <functional>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Carries out an agent's claim batches: one store call a batch, each claim a nested transaction of
/// its own. Claims hang on a lease that is replaced every hour, so that the store forgets them
/// after a day.
class ClaimWriter
{
public:
    using Done = std::function<void(const AgentEvent::ClaimsAnswered &answer)>;

    ClaimWriter(EventLoop &loop, StoreClient &store, Done done);

    void write(const AgentOrder::WriteClaims &batch);

private:
    void writeUnderLease(const AgentOrder::WriteClaims &batch);
    void fail(std::uint64_t batch);

    EventLoop &loop;
    StoreClient &store;
    Done done;
    std::int64_t lease = 0;
    Instant leaseReplaceDeadline;
};

} // namespace Nutmegrill
