#pragma once

#include "Agent/AgentCommand.h"
#include "Core/Time.h"

#include <cstdint>
#include <functional>

namespace Nutmegrill {

class EventLoop;
class StoreClient;

/// Writes an agent's claim batches: one store transaction per batch, with a nested transaction for
/// each claim. Claims are attached to a lease that is replaced every hour and not renewed, so that
/// the store deletes them after about a day.
class ClaimWriter
{
public:
    using AnswerHandler = std::function<void(const AgentEvent::ClaimsAnswered &answer)>;

    ClaimWriter(EventLoop &loop, StoreClient &store, AnswerHandler handler);

    void write(const AgentCommand::WriteClaims &batch);

private:
    void writeUnderLease(const AgentCommand::WriteClaims &batch);
    void fail(std::uint64_t batch);

    EventLoop &loop;
    StoreClient &store;
    AnswerHandler onAnswer;
    std::int64_t lease = 0;
    Instant leaseReplaceDeadline;
};

} // namespace Nutmegrill
