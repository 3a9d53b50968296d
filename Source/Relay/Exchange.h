#pragma once

#include "Config/Route.h"
#include "Core/Time.h"
#include "Relay/Attempt.h"
#include "Relay/RelayOrder.h"
#include "Relay/RelayRequest.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

/// One open request of a caller, from its arrival to its final answer.
struct Exchange
{
    RelayOrder::CallerId caller = 0;
    RelayRequest request;
    /// Copy: the configuration may change while the request is open.
    Route route;
    std::string service;
    std::string account;
    std::uint32_t priority = 0;
    Instant arrivedAt;
    /// Until then the answer, or the first event, is on time.
    Instant targetAt;
    /// Sent until then, it is expected to be on time.
    Instant startBy;
    /// The final answer is due: the caller's deadline or the route's time limit.
    Instant deadline;
    /// A waiting request is not offered before.
    Instant notBefore;

    std::optional<Attempt> attempt;
    /// Backend servers on which it failed.
    std::set<std::string> failedOn;
    /// Attempts that a backend server may have run.
    std::uint32_t runs = 0;
    /// Attempts sent, run or not.
    std::uint32_t sends = 0;
    /// Whole answer that tells of a failure; passed on if no other attempt does better.
    std::optional<RelayOrder::AttemptId> failureAnswer;
    /// The answer to the caller has begun.
    bool streamOpen = false;
    std::optional<std::uint64_t> lastEvent;
    /// Number of the account's open requests before this one; orders accounts fairly.
    std::uint32_t accountRank = 0;

    bool isWaiting() const { return !this->attempt.has_value(); }
    /// Nothing was handed to a backend server that may have run it.
    bool isCertainlyNotRun() const { return this->runs == 0; }
};

} // namespace Nutmegrill
