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

/// Tables of an agent, shared by the parts of its decision logic.
class AgentState
{
public:
    explicit AgentState(AgentSettings settings);

    AgentSettings settings;
    ConfigurationSpread spread;
    CrashRecords crashes;
    /// Fingerprints with a crash record, for links that open later.
    std::set<std::uint64_t> suspects;
    BackendState backend;
    CreditLedger credits;
    ClaimTable claims;
    std::map<AgentOrder::LinkId, LinkRow> links;
    std::map<std::string, RequestRow> requests;
    /// Requests handed to the backend server, until their repeats are over.
    std::map<std::string, Instant> called;
    /// Request of each open work stream.
    std::map<AgentOrder::WorkId, std::string> works;
    RecentRequests recent;

    /// Declaration of the agent's service; null when there is none.
    const ServiceDeclaration *service() const;

    bool isOut() const;

    /// Requests that the backend server may run now; 0 while it gets no new work.
    std::uint32_t limit() const;

    PeerMessage::BackendStatus::State status() const;

    std::uint32_t running() const;
    /// Accepted requests that are not ended: they run or are about to.
    std::uint32_t active() const;
    /// A suspect waits or runs, so that nothing else may start.
    bool isIsolating(Instant now) const;
    bool isSuspectRunning(Instant now) const;

    /// KV-cache bytes at the end of the answer.
    std::uint64_t projectedKvBytes(const WorkMessage::Request &request) const;
    std::uint64_t projectedKvBytes() const;

    RequestRow *findRequest(const std::string &requestId);
    RequestRow *findRequestOfWork(AgentOrder::WorkId work);
    LinkRow *findGreeted(AgentOrder::LinkId link);

    void send(const AgentTurn &turn, AgentOrder::WorkId work, WorkMessage::Any message) const;
    /// A request that was handed over before is never reported as not run, whatever became of
    /// this repeat.
    void fail(const AgentTurn &turn, AgentOrder::WorkId work, const std::string &requestId,
              WorkMessage::Failure failure) const;
    /// Adds the request to the recent ones; \a run is corrected as in fail().
    void remember(const WorkMessage::Request &request, const std::string &code, RunState run);
    /// Orders the hand-over to the backend server.
    void callBackend(const AgentTurn &turn, RequestRow &row);
    /// Ends the row's stream with a failure, if it has one, and erases the row.
    void failRequest(const AgentTurn &turn, const std::string &requestId,
                     const WorkMessage::Failure &failure);
    /// Sends a message to every greeted link but \a except.
    void broadcast(const AgentTurn &turn, const PeerMessage::Any &message,
                   AgentOrder::LinkId except = 0) const;
    void log(const AgentTurn &turn, std::uint32_t number, LogRecord::Level level,
             std::string text) const;

private:
    /// A request that was handed over before counts as run or unknown.
    RunState knownRun(const std::string &requestId, RunState run) const;
};

} // namespace Nutmegrill
