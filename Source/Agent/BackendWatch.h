#pragma once

#include "Agent/AgentState.h"

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// Tracks reachability, restarts and crashes of the backend server, and records the fingerprints of
/// the requests that were running during a crash.
class BackendWatch
{
public:
    explicit BackendWatch(AgentState &state) : state(state) {}

    void receiveReport(const AgentTurn &turn, const AgentEvent::BackendReport &report);
    void receiveFailure(const AgentTurn &turn, const AgentEvent::BackendFailed &event);
    void mergeCrashNotice(const AgentTurn &turn, AgentCommand::LinkId link,
                          const PeerMessage::CrashNotice &notice);

    /// Records a crash when all open connections broke within one batch of events.
    void detectCrash(const AgentTurn &turn);

    /// Drops expired crash records.
    void expire(const AgentTurn &turn);

    /// Restarts the warm-up after the failure domain was brought back, and logs both transitions.
    void trackFailureDomain(const AgentTurn &turn);

private:
    void setDown(const AgentTurn &turn, const std::string &reason);
    void addCrash(const AgentTurn &turn);
    std::string crashId() const;
    void broadcastCrashRecord(const AgentTurn &turn, std::uint64_t fingerprint,
                              AgentCommand::LinkId except) const;

    AgentState &state;
    /// Fingerprints of requests whose connection broke recently, with their expiry.
    std::map<std::uint64_t, Instant> recentlyBroken;
    bool brokeInThisBatch = false;
    /// Number of recoveries; part of the crash id of a backend server without an incarnation.
    std::uint64_t recoveries = 0;
};

} // namespace Nutmegrill
