#pragma once

#include "Config/Route.h"
#include "Core/Time.h"
#include "Relay/Attempt.h"
#include "Relay/RelayCommand.h"
#include "Relay/RelayRequest.h"
#include "Relay/RequestQuarantine.h"
#include "Relay/RequestTimes.h"
#include "Relay/SlotBudget.h"
#include "Scheduling/HedgeHold.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

/// One open request of a caller, from its arrival to its final answer, over all its attempts.
struct Exchange
{
    RelayCommand::CallerId caller = 0;
    RelayRequest request;
    /// Copy: the configuration may change while the request is open.
    Route route;
    std::string service;
    std::string account;
    std::uint32_t priority = 0;
    Instant arrivedAt;
    /// Latency target: the answer, or the first event of a stream, is on time until then.
    Instant targetAt;
    /// Latest time of sending at which the answer is still expected on time.
    Instant startBy;
    /// The caller's deadline or the route's timeout, whichever is earlier.
    Instant deadline;
    /// End of the backoff: a waiting request gets no slot before.
    Instant notBefore;

    /// While two attempts run, the one that last received something from its backend server.
    std::optional<Attempt> attempt;
    /// The other attempt while two run. The first one to bring an event or a successful head goes
    /// on alone.
    std::optional<Attempt> otherAttempt;
    /// What held back a second attempt when it was last due.
    std::optional<HedgeHold> hedgeHold;
    /// Backend servers at which an attempt failed; they get no further attempt.
    std::set<std::string> failedOn;
    std::string lastBackend;
    /// What it has in common with other requests that crash backend servers.
    RequestQuarantine::Traits traits;
    /// An attempt broke without progress.
    bool hasBroken = false;
    /// Attempts that a backend server has run or may have run.
    std::uint32_t runs = 0;
    /// Attempts sent, whether run or not.
    std::uint32_t sends = 0;
    /// Attempt with a complete error answer, which is relayed if no further attempt succeeds.
    std::optional<RelayCommand::AttemptId> failureAnswer;
    /// The streamed answer to the caller has begun.
    bool isStreamOpen = false;
    std::optional<std::uint64_t> lastEvent;
    RequestTimes times;
    /// Begin of the present wait for an attempt.
    Instant waitingSince;
    /// Number of the account's open requests at arrival; used for fairness between accounts.
    std::uint32_t accountOpenRequests = 0;

    /// Order in which requests of a service get the slots that become free: those that can still be
    /// on time by their priorities, then the others.
    std::uint32_t urgency(Instant now) const
    {
        return this->priority + (this->startBy < now ? SlotBudget::FirstLate : 0);
    }
    bool isWaiting() const { return !this->attempt.has_value(); }
    /// No backend server can have run the request.
    bool isKnownNotRun() const { return this->runs == 0; }
};

} // namespace Nutmegrill
