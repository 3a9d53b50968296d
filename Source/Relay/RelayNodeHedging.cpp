// The part of RelayNode that starts a second attempt while the first one is late, and lets the
// faster of the two go on.

#include "Relay/RelayLimits.h"
#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"
#include "Scheduling/HedgeInput.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <utility>

namespace Nutmegrill {

namespace {

/// At most this share of the slots is free in a service that is saturated.
constexpr double SaturatedFreeShare = 0.1;

/// Whether the outcome of the attempt is open and no other one was started for it.
bool mayBeLate(const Exchange &exchange)
{
    return exchange.attempt && !exchange.otherAttempt && !exchange.isStreamOpen
           && !exchange.attempt->isSecond && !exchange.attempt->hasBegun
           && !exchange.attempt->isFailure && !exchange.attempt->refusal;
}

} // namespace

void RelayNode::setHedgeRatio(double ratio)
{
    this->settings.hedgeRatio = ratio;
    for (auto &[service, share] : this->hedgeBudgets)
        share.setLimit({ratio, 0});
}

ServiceRetryBudget &RelayNode::hedgeBudgetOf(const std::string &service)
{
    return this->hedgeBudgets
            .try_emplace(service, ServiceRetryBudget::Limit{this->settings.hedgeRatio, 0},
                         this->settings.retryWindow)
            .first->second;
}

void RelayNode::startSecondAttempts(Instant now, Commands &commands)
{
    if (!this->isHedging())
        return;
    // Both figures take a pass over all open requests or backend servers.
    std::map<std::string, bool> saturated;
    for (auto &[caller, exchange] : this->exchanges) {
        // A backend server that rejected the other attempt has asked for a backoff.
        if (!mayBeLate(exchange) || now < exchange.notBefore)
            continue;
        const auto lateAfter =
                this->hedgePolicy.lateAfter(now, exchange.service, exchange.request.promptTokens);
        if (!lateAfter || now < exchange.attempt->sentAt + *lateAfter)
            continue;
        const auto [known, isNew] = saturated.try_emplace(exchange.service, false);
        if (isNew)
            known->second = this->isSaturated(now, exchange.service);
        this->startSecondAttempt(now, exchange, known->second, commands);
    }
}

void RelayNode::startSecondAttempt(Instant now, Exchange &exchange, bool isSaturated,
                                   Commands &commands)
{
    const std::uint32_t entries = this->peers.entryCount(now);
    ServiceRetryBudget &hedgeBudget = this->hedgeBudgetOf(exchange.service);
    ServiceRetryBudget &retryBudget = this->retryBudgetOf(exchange.service);
    HedgeInput input;
    input.isStopping = this->stopAt != NoDeadline;
    input.runsOnce = !exchange.route.mayRunAgain();
    input.hasNoRunsLeft =
            exchange.runs >= exchange.route.maxRuns || exchange.sends >= RelayLimits::MaxSends;
    input.isSuspect = exchange.hasBroken || exchange.attempt->isTest
                      || this->quarantine.isSuspect(now, exchange.traits);
    input.isNearDeadline = exchange.deadline - now < RelayLimits::MinAttemptTime;
    input.isSaturated = isSaturated;
    input.isHedgeBudgetUsedUp = !hedgeBudget.hasCapacity(now, entries);
    input.isRetryBudgetUsedUp = !retryBudget.hasCapacity(now, entries);
    std::optional<HedgeHold> hold = HedgePolicy::reasonToHold(input);
    const std::optional<std::string> chosen =
            hold ? std::nullopt : this->chooseBackend(now, exchange);
    if (!hold && !chosen)
        hold = HedgeHold::NoServer;
    if (hold) {
        // Checked in each tick, counted once per reason.
        if (std::exchange(exchange.hedgeHold, hold) != hold)
            this->noteSecondAttempt(exchange, "suppressed", nameOf(*hold), commands);
        return;
    }
    hedgeBudget.tryAcquire(now, entries);
    retryBudget.tryAcquire(now, entries);
    exchange.hedgeHold.reset();
    this->noteSecondAttempt(exchange, "started", "", commands);
    this->startAttempt(now, exchange, *chosen, commands);
}

bool RelayNode::isSaturated(Instant now, const std::string &service) const
{
    if (this->waitingCount(service) > 0)
        return true;
    std::uint32_t slots = 0;
    std::uint32_t free = 0;
    for (const auto &[id, row] : this->backends.rows()) {
        const ServingUnit *unit = this->findUnit(row.unit);
        if (row.record.service != service || !this->backends.isEligible(row, now)
            || row.health.isSuspended(now) || (unit != nullptr && unit->circuit.isOpen()))
            continue;
        const std::uint32_t limit =
                unit == nullptr ? row.record.slots
                                : unit->concurrency.limit(row.record.slots, this->limitBasis(now));
        const auto use = this->backendUses.find(id);
        const std::uint32_t running = (use == this->backendUses.end() ? 0 : use->second.running)
                                      + this->peers.runningElsewhere(id, now);
        slots += limit;
        free += limit - std::min(limit, running);
    }
    return free <= SaturatedFreeShare * slots;
}

void RelayNode::settleAttempts(Instant now, Exchange &exchange, Commands &commands)
{
    Attempt &winner = *exchange.attempt;
    if (std::exchange(winner.hasBegun, true))
        return;
    const auto recordDelay = [&](const Attempt &attempt) {
        if (!attempt.isSecond && this->isHedging())
            this->hedgePolicy.recordDelay(now, exchange.service, exchange.request.promptTokens,
                                          now - attempt.sentAt);
    };
    if (winner.isSuccess)
        recordDelay(winner);
    if (!exchange.otherAttempt)
        return;
    const Attempt loser = *std::exchange(exchange.otherAttempt, std::nullopt);
    recordDelay(loser);
    this->releaseSlot(loser);
    this->attempts.erase(loser.id);
    commands.push_back(RelayCommand::CancelAttempt{loser.id});
    exchange.failedOn.insert(loser.backend);
    exchange.lastBackend = winner.backend;
    this->noteSecondAttempt(exchange, winner.isSecond ? "won" : "cancelled", "", commands);
}

void RelayNode::noteAttemptAlone(Exchange &exchange, Commands &commands)
{
    exchange.lastBackend = exchange.attempt->backend;
    this->noteSecondAttempt(exchange, exchange.attempt->isSecond ? "alone" : "failed", "",
                            commands);
}

void RelayNode::noteSecondAttempt(const Exchange &exchange, const char *outcome, const char *reason,
                                  Commands &commands) const
{
    std::ostringstream text;
    text << "request=" << exchange.request.id << " service=" << exchange.service
         << " outcome=" << outcome << " reason=" << reason
         << " backend=" << exchange.attempt->backend << " runs=" << exchange.runs;
    commands.push_back(RelayCommand::CountSecondAttempt{exchange.service, outcome, reason});
    commands.push_back(RelayCommand::Log{
            LogRecord{RelayLog::SecondAttempt, LogRecord::Level::Info, text.str()}});
}

} // namespace Nutmegrill
