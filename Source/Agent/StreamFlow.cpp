#include "Agent/StreamFlow.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

// Together with the retained tail this stays below the 256 KiB budget of a stream.
constexpr std::uint64_t MaxStreamBytes = 48U << 10U;
constexpr std::uint64_t MaxProcessBytes = 32U << 20U;
constexpr std::uint64_t MinStreamBytes = 16U << 10U;

// Returns the bytes of the answer that no reader has consumed. A claimed request without a reader
// is not paused, because its answer must be recorded; its tail has a separate budget.
std::uint64_t unreadBytes(const RequestRow &row)
{
    if (row.work == 0)
        return row.isClaimed() ? 0 : row.tail.bytes();
    // The entry buffers what a caller has not read and acknowledges the rest 1 to 2 s late. Two
    // thirds of the tail count for a model's answer, so that it is paused before the tail loses
    // events. The tail of a plain body does not count: it may outpace the acknowledgements.
    return row.hasTokens ? std::max(row.buffered, row.tail.bytes() / 3 * 2) : row.buffered;
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
        sum += unreadBytes(row);
        ++streams;
    }
    const std::uint64_t budget =
            sum <= MaxProcessBytes
                    ? MaxStreamBytes
                    : std::clamp(MaxProcessBytes / streams, MinStreamBytes, MaxStreamBytes);
    for (auto &[id, row] : this->state.requests) {
        if (row.phase != RequestRow::Phase::Running)
            continue;
        // Hysteresis: reading resumes at half the budget, so that the state does not oscillate.
        const bool paused = unreadBytes(row) >= (row.paused ? budget / 2 : budget);
        if (paused == row.paused)
            continue;
        row.paused = paused;
        // The next interval between two events measures the pause and not the engine.
        row.isIntervalValid = false;
        turn.commands.emplace_back(AgentCommand::PauseBackend{id, paused});
    }
}

} // namespace Nutmegrill
