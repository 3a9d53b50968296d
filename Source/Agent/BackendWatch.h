#pragma once

#include "Agent/AgentState.h"

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// Follows the backend server: reachable or not, restarts, and crashes with the requests that were
/// running at that time.
class BackendWatch
{
public:
    explicit BackendWatch(AgentState &state) : state(state) {}

    void receiveReport(const AgentTurn &turn, const AgentEvent::BackendReport &report);
    void receiveFailure(const AgentTurn &turn, const AgentEvent::BackendFailed &event);
    void mergeNotice(const AgentTurn &turn, AgentOrder::LinkId link,
                     const PeerMessage::CrashNotice &notice);

    /// A crash also shows as the end of all connections within one batch of events.
    void detectCrash(const AgentTurn &turn);

    /// Drops expired crash records.
    void expire(const AgentTurn &turn);

    /// Resets the limit after the failure domain came back and logs the moves.
    void followDomain(const AgentTurn &turn);

private:
    void setDown(const AgentTurn &turn, const std::string &reason);
    void addCrash(const AgentTurn &turn);
    std::string crashId() const;
    void spreadSuspect(const AgentTurn &turn, std::uint64_t fingerprint,
                       AgentOrder::LinkId except) const;

    AgentState &state;
    /// Fingerprints of requests whose connection broke a moment ago.
    std::map<std::uint64_t, Instant> broken;
    bool brokeNow = false;
    /// Counts returns after a crash; names crashes of backend servers without an incarnation.
    std::uint64_t returns = 0;
};

} // namespace Nutmegrill
