#include "Agent/StreamFlow.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

// Together with the kept tail this stays below the budget of 256 KiB a stream.
constexpr std::uint64_t StreamBytes = 48U << 10U;
constexpr std::uint64_t ProcessBytes = 32U << 20U;
constexpr std::uint64_t SmallestShare = 16U << 10U;

// Bytes of the answer that no reader has taken. A claimed call without a reader goes on, because
// its end is still to be recorded; its tail has a budget of its own.
std::uint64_t heldBytes(const RequestRow &row)
{
    if (row.work != 0)
        return row.buffered;
    return row.isClaimed() ? 0 : row.tail.bytes();
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
