#include "Agent/StreamFlow.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

// Half of the budget of a stream: the bytes that a caller has not read are held at the entry, and
// here as the tail of the answer.
constexpr std::uint64_t StreamBytes = 128U << 10U;
constexpr std::uint64_t ProcessBytes = 32U << 20U;
constexpr std::uint64_t SmallestShare = 16U << 10U;

// Bytes of the answer that no reader has taken: those that the entry has not acknowledged, wherever
// they are on the way. A claimed call goes on without a reader, because its end is still to be
// recorded; its tail has a budget of its own.
std::uint64_t heldBytes(const RequestRow &row)
{
    if (row.isClaimed())
        return row.work == 0 ? 0 : row.buffered;
    return std::max(row.buffered, row.tail.bytes());
}

} // namespace

void StreamFlow::receiveBuffered(const AgentEvent::WorkBuffered &event)
{
    if (RequestRow *row = this->state.findRequestOfWork(event.work); row != nullptr)
        row->buffered = event.bytes;
}

void StreamFlow::pauseSlowStreams(const AgentTurn &turn)
{
    if (!this->state.settings.mechanisms.pauses)
        return;
    std::uint64_t sum = 0;
    std::uint64_t streams = 0;
    for (const auto &[id, row] : this->state.requests) {
        if (row.phase != RequestRow::Phase::Running)
            continue;
        sum += heldBytes(row);
        ++streams;
    }
    const std::uint64_t budget =
            sum <= ProcessBytes ? StreamBytes
                                : std::clamp(ProcessBytes / streams, SmallestShare, StreamBytes);
    for (auto &[id, row] : this->state.requests) {
        if (row.phase != RequestRow::Phase::Running)
            continue;
        // Reading restarts at half the budget, so that a stream at the limit does not toggle.
        const bool paused = heldBytes(row) >= (row.paused ? budget / 2 : budget);
        if (paused == row.paused)
            continue;
        row.paused = paused;
        // The next time between two events is the reader's, not the engine's.
        row.isPaceKnown = false;
        turn.orders.emplace_back(AgentOrder::PauseBackend{id, paused});
    }
}

} // namespace Nutmegrill
