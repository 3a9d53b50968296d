#include "Agent/DrainState.h"

#include "Agent/AgentLog.h"

#include <chrono>

namespace Nutmegrill {

namespace {

// An entry that lost its link resumes within the 3 s liveness deadline plus a reconnect.
constexpr std::chrono::seconds TailDrainTimeout(10);

} // namespace

void DrainState::beginDrain(const AgentTurn &turn)
{
    if (this->state.backend.leaving)
        return;
    this->state.backend.leaving = true;
    this->state.log(turn, AgentLog::Leaving, LogRecord::Level::Info, "no new work is taken");
}

void DrainState::stopWhenDrained(const AgentTurn &turn)
{
    if (!this->state.backend.leaving || this->stopped || !this->isDrained(turn))
        return;
    this->stopped = true;
    this->state.log(turn, AgentLog::Drained, LogRecord::Level::Info, "all work has ended");
    turn.commands.emplace_back(AgentCommand::Stop{});
}

bool DrainState::isDrained(const AgentTurn &turn)
{
    if (!this->state.settings.mechanisms.drain)
        return true;
    if (this->state.active() > 0) {
        this->tailDeadline = NoDeadline;
        return false;
    }
    if (this->state.requests.empty() && this->state.claims.empty())
        return true;
    if (this->tailDeadline == NoDeadline)
        this->tailDeadline = turn.now + TailDrainTimeout;
    return this->tailDeadline <= turn.now;
}

} // namespace Nutmegrill
