// The part of RelayNode that keeps requests which crash backend servers away from them.

#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"

#include <sstream>
#include <utility>
#include <vector>

namespace Nutmegrill {

std::string RelayNode::incarnationOf(const std::string &backend) const
{
    const auto found = this->backends.rows().find(backend);
    return found == this->backends.rows().end()
                   ? backend + "/"
                   : backend + "/" + std::to_string(found->second.record.incarnation);
}

bool RelayNode::isBlocked(Instant now, const Exchange &exchange) const
{
    return this->quarantine.blocks(now, exchange.traits, [&](std::uint64_t trait) {
        return this->peers.isAmongChosen("test/" + std::to_string(trait),
                                         this->settings.peerAddress, 1, now);
    });
}

void RelayNode::recordBreak(Instant now, Exchange &exchange, Commands &commands)
{
    const Attempt &attempt = *exchange.attempt;
    const auto found = this->backends.rows().find(attempt.backend);
    // The connections of a backend server that leaves break as planned.
    if (attempt.hasRunWell || found == this->backends.rows().end() || found->second.record.isLeaving
        || found->second.saysItLeaves || found->second.removedAt)
        return;
    const std::string incarnation = this->incarnationOf(attempt.backend);
    const auto repeated =
            exchange.hasBroken ? RequestQuarantine::contentTraitOf(exchange.request) : std::nullopt;
    if (this->quarantine.recordBreak(now, incarnation, exchange.traits, repeated))
        commands.push_back(RelayCommand::CheckBackend{incarnation, found->second.record.address});
    exchange.hasBroken = true;
}

void RelayNode::recordEnd(Instant now, const std::string &incarnation, Commands &commands)
{
    const auto traits = this->quarantine.recordEnd(now, incarnation);
    if (!traits)
        return;
    commands.push_back(RelayCommand::Log{
            LogRecord{RelayLog::BackendCrashed, LogRecord::Level::Warning,
                      "backend=" + incarnation + " traits=" + std::to_string(*traits)}});
}

void RelayNode::recordProgress(Instant now, Exchange &exchange)
{
    if (!exchange.attempt->isSuccess || std::exchange(exchange.attempt->hasRunWell, true))
        return;
    this->quarantine.recordSuccess(now, exchange.traits);
}

void RelayNode::backendChecked(Instant now, const std::string &incarnation, BackendCheck result,
                               Commands &commands)
{
    if (result == BackendCheck::Listening)
        this->quarantine.recordAlive(incarnation, now);
    else if (result == BackendCheck::Refused)
        this->recordEnd(now, incarnation, commands);
    else
        this->quarantine.recordUnknown(incarnation);
    this->placeWaiting(now, commands);
}

void RelayNode::checkRestarts(Instant now, Commands &commands)
{
    for (const std::string &incarnation : this->quarantine.unexplained()) {
        const std::string backend = incarnation.substr(0, incarnation.rfind('/'));
        const auto found = this->backends.rows().find(backend);
        if (found != this->backends.rows().end()
            && (this->backends.isSuperseded(found->second)
                || this->incarnationOf(backend) != incarnation))
            this->recordEnd(now, incarnation, commands);
    }
}

void RelayNode::storeQuarantine(Instant now, Commands &commands)
{
    for (const auto &[report, revision] :
         this->quarantine.takeStoreWrites(now, [&](std::uint64_t trait, std::uint32_t writers) {
             return this->peers.isAmongChosen("store/" + std::to_string(trait),
                                              this->settings.peerAddress, writers, now);
         })) {
        commands.push_back(RelayCommand::StoreCrashes{report, revision});
        std::ostringstream text;
        text << "trait=" << report.fingerprint << " crashes=" << report.crashes.size()
             << " ran_well=" << report.sinceSuccess.has_value();
        commands.push_back(RelayCommand::Log{LogRecord{
                report.crashes.empty() ? RelayLog::QuarantineEnded : RelayLog::Quarantined,
                LogRecord::Level::Warning, text.str()}});
    }
}

void RelayNode::cancelBlocked(Instant now, Commands &commands)
{
    if (this->cancelledGeneration == this->quarantine.generation())
        return;
    this->cancelledGeneration = this->quarantine.generation();
    std::vector<CallerId> blocked;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (exchange.attempt && !exchange.attempt->hasEvent && !exchange.attempt->isTest
            && this->isBlocked(now, exchange))
            blocked.push_back(caller);
    }
    for (const CallerId caller : blocked) {
        Exchange &exchange = this->exchanges.at(caller);
        this->dropAllAttempts(exchange, commands);
        this->abandon(now, exchange, "quarantined", commands);
    }
}

bool RelayNode::reportArrived(Instant now, const EntryReport &report, Commands &commands)
{
    if (!this->peers.update(now, report))
        return false;
    for (const auto &[incarnation, requestsPerSecond, age] : report.limits) {
        const std::string backend = incarnation.substr(0, incarnation.rfind('/'));
        if (this->incarnationOf(backend) == incarnation)
            this->observeLimit(now - age, backend, requestsPerSecond, commands);
    }
    for (const std::string &incarnation : report.leaving) {
        const auto separator = incarnation.rfind('/');
        const std::string backend = incarnation.substr(0, separator);
        if (const BackendRoster::Row *row = this->backends.find(backend);
            row != nullptr && this->incarnationOf(backend) == incarnation)
            this->recordLeaving(backend, row->record.incarnation, "report", commands);
    }
    for (const CrashReport &crashes : report.crashes)
        this->quarantine.merge(now, crashes);
    return true;
}

} // namespace Nutmegrill
