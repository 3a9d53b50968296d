// The part of RelayNode that follows attempts at backend servers from the connection to their end.

#include "Relay/RelayLimits.h"
#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

milliseconds toMilliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

LogRecord makeRecord(std::uint32_t number, LogRecord::Level level, const std::string &text)
{
    return {number, level, text};
}

/// Backoff before a request that a backend server rejected as not run is sent again.
constexpr milliseconds RejectionBackoff{40};
/// Time between events after which a request is known not to crash its backend server.
constexpr milliseconds MinProgress{500};
const char *describe(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return "not sent";
    case AttemptFailure::Refused:
        return "connection refused";
    case AttemptFailure::Broken:
        return "connection broke";
    case AttemptFailure::Malformed:
        return "malformed answer";
    }
    return "";
}

} // namespace

void RelayNode::attemptConnected(Instant now, AttemptId attempt)
{
    Exchange *exchange = this->findByAttempt(attempt);
    if (exchange == nullptr)
        return;
    exchange->attempt->connectedAt = now;
    exchange->times.connecting += now - exchange->attempt->sentAt;
}

void RelayNode::headArrived(Instant now, AttemptId attempt, const AnswerHead &head,
                            Commands &commands)
{
    Exchange *exchange = this->findByAttempt(attempt);
    if (exchange == nullptr)
        return;
    Attempt &running = *exchange->attempt;
    running.hasHead = true;
    running.lastActivityAt = now;
    this->units[running.unit].recordActivity(now);
    running.isSuccess = head.status / 100 == 2;
    running.isFailure = head.status >= 500;
    running.isFramed = head.isFramed;
    this->quarantine.recordAlive(this->incarnationOf(running.backend), running.sentAt);
    if (BackendRoster::Row *row = this->backends.find(running.backend)) {
        row->lastReceivedAt = now;
        if (head.load)
            row->reportedLoad = head.load->running + head.load->waiting;
    }
    if (!head.isMisdirected) {
        this->recordNamedLimit(now, running, head, commands);
        this->recordNotices(now, running, head, commands);
    }
    if (head.notRun || head.isMisdirected) {
        // Counts at the end of the answer only, where it is whole and the connection can be reused.
        running.refusal = head;
        return;
    }
    if (head.isStream && head.status == 200)
        return;
    if (!running.isFailure)
        this->settleAttempts(now, *exchange, commands);
    // The answer to a failed resumption cannot be relayed: the caller's stream is already open.
    if (exchange->isStreamOpen) {
        if (BackendRoster::Row *row = this->backends.find(running.backend))
            row->health.recordFailure(now);
        this->dropAttempt(*exchange, commands);
        this->retryOrAbandon(now, *exchange, "status " + std::to_string(head.status), commands);
    }
}

void RelayNode::handleRejection(Instant now, Exchange &exchange, const AnswerHead &head,
                                Commands &commands)
{
    const std::string backend = exchange.attempt->backend;
    if (BackendRoster::Row *row = this->backends.find(backend)) {
        if (head.isMisdirected)
            row->health.recordReplaced(now);
    }
    // A pause that a backend server asks for is no fault of the service.
    if (!head.isMisdirected && !head.pause)
        this->units[exchange.attempt->unit].circuit.recordRejection(now, backend);
    if (exchange.runs > 0)
        --exchange.runs;
    if (head.isMisdirected)
        exchange.failedOn.insert(backend);
    this->dropAttempt(exchange, commands);
    const bool isOverloaded = !head.isMisdirected && !head.pause;
    exchange.notBefore = now + (isOverloaded ? RejectionBackoff : milliseconds(0));
    this->retryOrAbandon(now, exchange, "not run, status " + std::to_string(head.status), commands);
}

void RelayNode::eventArrived(Instant now, AttemptId attempt, StreamEvent event, Commands &commands)
{
    Exchange *exchange = this->findByAttempt(attempt);
    if (exchange == nullptr)
        return;
    ServingUnit &unit = this->units[exchange->attempt->unit];
    if (exchange->attempt->hasEvent) {
        const std::chrono::microseconds pause = now - exchange->attempt->lastActivityAt;
        exchange->times.longestPause = std::max(exchange->times.longestPause, pause);
        unit.concurrency.recordPause(now, pause, exchange->route.pauseTarget);
    } else {
        exchange->times.serving += now - exchange->attempt->connectedAt;
        this->waitEstimatorOf(*exchange).recordDelay(now - exchange->attempt->sentAt);
        exchange->attempt->firstEventAt = now;
        this->recordRun(now, *exchange, commands);
        this->settleAttempts(now, *exchange, commands);
    }
    exchange->attempt->lastActivityAt = now;
    exchange->attempt->hasEvent = true;
    if (now >= exchange->attempt->firstEventAt + MinProgress)
        this->recordProgress(now, *exchange);
    unit.circuit.recordServed();
    unit.recordActivity(now);
    if (BackendRoster::Row *row = this->backends.find(exchange->attempt->backend))
        row->lastReceivedAt = now;
    // A resumed stream may repeat events that the caller already received.
    if (event.id && exchange->lastEvent && *event.id <= *exchange->lastEvent)
        return;
    if (!exchange->isStreamOpen) {
        exchange->isStreamOpen = true;
        commands.push_back(RelayCommand::OpenStream{exchange->caller, attempt});
    }
    if (event.id)
        exchange->lastEvent = event.id;
    commands.push_back(RelayCommand::SendEvent{exchange->caller, std::move(event.bytes)});
}

void RelayNode::answerEnded(Instant now, AttemptId attempt, Commands &commands)
{
    Exchange *exchange = this->findByAttempt(attempt);
    if (exchange == nullptr)
        return;
    const Attempt running = *exchange->attempt;
    if (running.refusal) {
        this->handleRejection(now, *exchange, *running.refusal, commands);
        this->placeWaiting(now, commands);
        return;
    }
    const bool failed = running.isFailure;
    if (!failed)
        this->settleAttempts(now, *exchange, commands);
    if (BackendRoster::Row *row = this->backends.find(running.backend)) {
        row->lastReceivedAt = now;
        failed ? row->health.recordFailure(now) : row->health.recordSuccess(now);
    }
    // A backend server that crashed may have ended an unframed answer.
    if (running.isFramed)
        this->recordProgress(now, *exchange);
    this->units[running.unit].circuit.recordServed();
    this->waitEstimatorOf(*exchange).recordHoldTime(now - running.sentAt);
    if (!running.hasEvent) {
        exchange->times.serving += now - running.connectedAt;
        this->waitEstimatorOf(*exchange).recordDelay(now - running.sentAt);
        this->recordRun(running.connectedAt, *exchange, commands);
    }
    this->releaseSlot(running);
    this->attempts.erase(attempt);
    exchange->attempt = std::exchange(exchange->otherAttempt, std::nullopt);
    if (exchange->attempt) {
        // The answer is one of failure: the other attempt may still succeed.
        if (exchange->failureAnswer)
            commands.push_back(RelayCommand::CancelAttempt{*exchange->failureAnswer});
        exchange->failureAnswer = attempt;
        exchange->failedOn.insert(running.backend);
        this->noteAttemptAlone(*exchange, commands);
    } else if (exchange->isStreamOpen) {
        commands.push_back(RelayCommand::EndStream{exchange->caller});
        this->finish(now, *exchange, "stream", commands);
    } else if (failed && exchange->route.kind == Route::Kind::Idempotent
               && exchange->runs < exchange->route.maxRuns
               && exchange->deadline - now
                          > RelayLimits::MinAttemptTime
                                    + this->waitEstimatorOf(*exchange).meanHoldTime()) {
        if (exchange->failureAnswer)
            commands.push_back(RelayCommand::CancelAttempt{*exchange->failureAnswer});
        exchange->failureAnswer = attempt;
        exchange->failedOn.insert(running.backend);
        exchange->waitingSince = now;
        if (!this->tryPlace(now, *exchange, commands))
            this->abandon(now, *exchange, "failure without another backend server", commands);
        return;
    } else {
        commands.push_back(RelayCommand::RelayAnswer{exchange->caller, attempt});
        this->finish(now, *exchange, failed ? "failure of the backend server" : "answer", commands);
    }
    this->placeWaiting(now, commands);
}

void RelayNode::attemptFailed(Instant now, AttemptId attempt, AttemptFailure failure,
                              Commands &commands)
{
    Exchange *exchange = this->findByAttempt(attempt);
    if (exchange == nullptr)
        return;
    const std::string backend = exchange->attempt->backend;
    // A rejection that broke off states nothing: the request may have run.
    const bool wasSent = failure != AttemptFailure::NotSent && failure != AttemptFailure::Refused;
    if (BackendRoster::Row *row = this->backends.find(backend))
        wasSent ? row->health.recordFailure(now) : row->health.recordUnreachable(now);
    if (!wasSent && exchange->runs > 0)
        --exchange->runs;
    // A call whose answer was lost has run.
    if (failure == AttemptFailure::Broken && exchange->route.kind != Route::Kind::Stream)
        this->recordRun(exchange->attempt->connectedAt, *exchange, commands);
    if (failure == AttemptFailure::Broken)
        this->recordBreak(now, *exchange, commands);
    else if (failure == AttemptFailure::Refused)
        this->recordEnd(now, this->incarnationOf(backend), commands);
    exchange->failedOn.insert(backend);
    this->dropAttempt(*exchange, commands);
    this->retryOrAbandon(now, *exchange, describe(failure), commands);
    this->placeWaiting(now, commands);
}

void RelayNode::retryOrAbandon(Instant now, Exchange &exchange, const std::string &why,
                               Commands &commands)
{
    exchange.waitingSince = now;
    std::ostringstream text;
    text << "request=" << exchange.request.id << " why=\"" << why
         << "\" backend=" << exchange.lastBackend << " sends=" << exchange.sends
         << " runs=" << exchange.runs
         << " last_event=" << (exchange.lastEvent ? std::to_string(*exchange.lastEvent) : "none")
         << " left_ms=" << toMilliseconds(exchange.deadline - now).count() << " parts=";
    for (const std::string &part : exchange.request.sharedParts)
        text << part << ",";
    commands.push_back(RelayCommand::Log{
            makeRecord(RelayLog::AttemptFailed, LogRecord::Level::Warning, text.str())});
    if (!exchange.isWaiting()) {
        this->noteAttemptAlone(exchange, commands);
        return;
    }
    const bool allowed =
            exchange.isKnownNotRun()
            || (exchange.route.mayRunAgain() && exchange.runs < exchange.route.maxRuns);
    if (!allowed || exchange.sends >= RelayLimits::MaxSends
        || exchange.deadline - now < RelayLimits::MinAttemptTime) {
        this->abandon(now, exchange, why, commands);
        return;
    }
    if (exchange.notBefore <= now && this->tryPlace(now, exchange, commands))
        return;
    if (const std::string reason = this->reasonToRefuse(now, exchange, 0); !reason.empty())
        this->abandon(now, exchange, reason, commands);
}

void RelayNode::recordRun(Instant beganAt, const Exchange &exchange, Commands &commands) const
{
    if (this->settings.recordsRuns && !exchange.account.empty())
        commands.push_back(RelayCommand::RecordRun{exchange.account, beganAt});
}

void RelayNode::abandon(Instant now, Exchange &exchange, const std::string &why, Commands &commands)
{
    if (exchange.isStreamOpen) {
        commands.push_back(RelayCommand::AbortStream{exchange.caller});
        std::ostringstream text;
        text << "request=" << exchange.request.id << " why=\"" << why << "\" last_event="
             << (exchange.lastEvent ? std::to_string(*exchange.lastEvent) : "none");
        commands.push_back(RelayCommand::Log{
                makeRecord(RelayLog::StreamCut, LogRecord::Level::Warning, text.str())});
        this->dropAllAttempts(exchange, commands);
        if (exchange.failureAnswer)
            commands.push_back(RelayCommand::CancelAttempt{*exchange.failureAnswer});
        this->exchanges.erase(exchange.caller);
    } else if (exchange.failureAnswer) {
        // The error answer of a backend server is more specific than one of this entry.
        this->dropAllAttempts(exchange, commands);
        commands.push_back(RelayCommand::RelayAnswer{exchange.caller, *exchange.failureAnswer});
        this->finish(now, exchange, "failure of the backend server", commands);
    } else if (exchange.isKnownNotRun()) {
        const milliseconds wait = this->waitEstimatorOf(exchange).expectedWait(
                this->waitingCount(exchange.service), this->usableSlots(exchange.service, now),
                this->shareOfFreedSlots(exchange.service, now));
        this->refuse(now, exchange, 503, this->retryAfterFor(now, exchange, wait), why, commands);
    } else {
        this->refuse(now, exchange, now >= exchange.deadline ? 504 : 502, {}, why, commands);
    }
}

} // namespace Nutmegrill
