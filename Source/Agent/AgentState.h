#pragma once

#include "Agent/AgentSettings.h"
#include "Agent/AgentTurn.h"
#include "Agent/BackendState.h"
#include "Agent/ClaimTable.h"
#include "Agent/CreditLedger.h"
#include "Agent/LinkRow.h"
#include "Agent/RequestRow.h"
#include "Membership/ConfigurationSpread.h"
#include "Membership/CrashRecords.h"
#include "Membership/RecentRequests.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Nutmegrill {

/// State shared by the components of an agent's decision logic.
class AgentState
{
public:
    explicit AgentState(AgentSettings settings);

    AgentSettings settings;
    ConfigurationSpread spread;
    CrashRecords crashes;
    /// Fingerprints with a crash record; sent to each link that opens.
    std::set<std::uint64_t> suspects;
    BackendState backend;
    CreditLedger credits;
    ClaimTable claims;
    std::map<AgentCommand::LinkId, LinkRow> links;
    std::map<std::string, RequestRow> requests;
    /// Requests sent to the backend server, each with the time at which its record is removed. A
    /// repeat before that time is never reported as not run.
    std::map<std::string, Instant> sentRequests;
    /// Request of each open work stream.
    std::map<AgentCommand::WorkId, std::string> workStreams;
    RecentRequests recent;

    /// Declaration of the agent's service; null when there is none.
    const ServiceDeclaration *service() const;

    bool isOut() const;

    /// Maximum number of concurrent requests; 0 while the backend server accepts no new work.
    std::uint32_t limit() const;

    PeerMessage::BackendStatus::State status() const;

    std::uint32_t running() const;
    /// Number of accepted requests that have not ended, including those that wait to start.
    std::uint32_t active() const;
    /// Whether a suspect request waits or runs; no other request may start meanwhile.
    bool isIsolating(Instant now) const;
    bool isSuspectRunning(Instant now) const;

    /// Projected KV-cache size of the request at the end of its answer.
    std::uint64_t projectedKvBytes(const WorkMessage::Request &request) const;
    std::uint64_t projectedKvBytes() const;

    RequestRow *findRequest(const std::string &requestId);
    RequestRow *findRequestOfWork(AgentCommand::WorkId work);
    LinkRow *findAuthenticatedLink(AgentCommand::LinkId link);

    void send(const AgentTurn &turn, AgentCommand::WorkId work, WorkMessage::Any message) const;
    /// Sends a failure. A request that was sent to the backend server before is never reported as
    /// not run, whatever the outcome of this repeat.
    void fail(const AgentTurn &turn, AgentCommand::WorkId work, const std::string &requestId,
              WorkMessage::Failure failure) const;
    /// Records the request in the list of recent requests; \a run is adjusted as in fail().
    void recordRecent(const WorkMessage::Request &request, const std::string &code, RunState run);
    /// Marks the request as running and sends it to the backend server.
    void callBackend(const AgentTurn &turn, RequestRow &row);
    /// Ends the row's stream with a failure, if it has one, and erases the row.
    void failRequest(const AgentTurn &turn, const std::string &requestId,
                     const WorkMessage::Failure &failure);
    /// Sends a message to every authenticated link but \a except.
    void broadcast(const AgentTurn &turn, const PeerMessage::Any &message,
                   AgentCommand::LinkId except = 0) const;
    void log(const AgentTurn &turn, std::uint32_t number, LogRecord::Level level,
             std::string text) const;

private:
    /// Returns Unknown instead of NotRun for a request that was sent to the backend server before.
    RunState correctedRunState(const std::string &requestId, RunState run) const;
};

} // namespace Nutmegrill
