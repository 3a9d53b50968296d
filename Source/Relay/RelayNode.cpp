#include "Relay/RelayNode.h"

#include "Relay/RelayLimits.h"
#include "Relay/RelayLog.h"
#include "Relay/StopAdmission.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Time limit of requests without a deadline.
constexpr milliseconds DefaultDeadline{30000};
/// A stream without an event for this long is resumed at another backend server if the service is
/// active. Three times the usual latency target of 400 ms; callers disconnect 0.8 s later.
constexpr milliseconds MaxStreamSilence{1200};
/// Attempts per request, including those that backend servers rejected as not run.
constexpr std::uint32_t MaxSends = 4;
/// Backoff before a request that a backend server rejected as not run is sent again.
constexpr milliseconds RejectionBackoff{40};
/// Time between events after which a request is known not to crash its backend server.
constexpr milliseconds MinProgress{500};
/// Groups that form again under other names leave units behind.
constexpr std::size_t MaxUnusedUnits = 64;

milliseconds toMilliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

LogRecord makeRecord(std::uint32_t number, LogRecord::Level level, const std::string &text)
{
    return {number, level, text};
}

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

RelayNode::RelayNode(const Settings &settings)
    : settings(settings), random(settings.seed), peers(settings.entries)
{}

RelayNode::~RelayNode() = default;

void RelayNode::setRetryLimit(const ServiceRetryBudget::Limit &limit)
{
    this->settings.retryLimit = limit;
    for (auto &[service, share] : this->retryBudgets)
        share.setLimit(limit);
}

void RelayNode::configure(ConfigurationPtr configuration, Commands &commands)
{
    if (this->routes != nullptr && configuration->version <= this->configurationVersion())
        return;
    std::ostringstream text;
    text << "version=" << configuration->version << " before=" << this->configurationVersion()
         << " routes=" << configuration->routes.size()
         << " services=" << configuration->services.size()
         << " accounts=" << configuration->clientAccounts.size();
    this->routes = std::make_unique<RouteTable>(std::move(configuration));
    commands.push_back(RelayCommand::Log{
            makeRecord(RelayLog::ConfigurationInForce, LogRecord::Level::Info, text.str())});
}

std::uint64_t RelayNode::configurationVersion() const
{
    return this->routes == nullptr ? 0 : this->routes->configuration().version;
}

const Configuration *RelayNode::configuration() const
{
    return this->routes == nullptr ? nullptr : &this->routes->configuration();
}

void RelayNode::requestArrived(Instant now, CallerId caller, RelayRequest request,
                               Commands &commands)
{
    if (!this->startedAt)
        this->startedAt = now;
    if (this->routes == nullptr) {
        this->refuseUntracked(caller, request.id, 503, milliseconds(500), "no configuration yet",
                              commands);
        return;
    }
    const Route *route = this->routes->find(request.host, request.path);
    if (route == nullptr) {
        this->refuseUntracked(caller, request.id, 404, {}, "no route", commands);
        return;
    }
    const ClientAccount *account = nullptr;
    if (!this->routes->configuration().clientAccounts.empty() && !route->isPublic) {
        account = this->routes->findAccount(request.key);
        if (account == nullptr) {
            this->refuseUntracked(caller, request.id, 401, {}, "unknown key", commands);
            return;
        }
    }
    const Route::Target *target = RouteTable::pickTarget(*route, this->random.unit());
    if (target == nullptr) {
        this->refuseUntracked(caller, request.id, 503, milliseconds(500), "route without a service",
                              commands);
        return;
    }

    Exchange exchange;
    exchange.caller = caller;
    exchange.route = *route;
    exchange.service = target->service;
    exchange.account = account == nullptr ? "" : account->name;
    exchange.priority =
            account != nullptr && account->priority ? *account->priority : route->priority;
    exchange.arrivedAt = now;
    exchange.waitingSince = now;
    exchange.targetAt = now + route->latencyTarget;
    exchange.deadline = now + std::min(request.timeLeft.value_or(DefaultDeadline), route->timeout);
    if (!StopAdmission::endsInTime({now, this->stopAt, exchange.deadline, route->kind,
                                    route->latencyTarget,
                                    this->waitEstimatorOf(exchange).meanHoldTime()})) {
        this->refuseUntracked(caller, request.id, 503, RelayLimits::MinRetryAfter, "planned stop",
                              commands);
        return;
    }
    exchange.lastEvent = request.lastEvent;
    exchange.request = std::move(request);
    exchange.traits = RequestQuarantine::traitsOf(exchange.service, exchange.request);
    exchange.accountOpenRequests = static_cast<std::uint32_t>(
            std::count_if(this->exchanges.begin(), this->exchanges.end(), [&](const auto &entry) {
                return entry.second.account == exchange.account
                       && entry.second.service == exchange.service;
            }));
    exchange.startBy = exchange.targetAt - this->waitEstimatorOf(exchange).meanDelay();
    this->retryBudgetOf(exchange.service).recordRequest(now);
    const std::uint32_t ahead = this->waitingCount(exchange.service);
    Exchange &row = this->exchanges.insert_or_assign(caller, std::move(exchange)).first->second;
    if (ahead == 0 && this->tryPlace(now, row, commands))
        return;
    if (const std::string reason = this->reasonToRefuse(now, row, ahead); !reason.empty()) {
        const milliseconds wait =
                this->waitEstimatorOf(row).expectedWait(ahead, this->usableSlots(row.service, now),
                                                        this->shareOfFreedSlots(row.service, now));
        this->refuse(now, row, 503, this->retryAfterFor(now, row, wait), reason, commands);
    }
}

void RelayNode::callerDisconnected(Instant now, CallerId caller, Commands &commands)
{
    const auto found = this->exchanges.find(caller);
    if (found == this->exchanges.end())
        return;
    Exchange &exchange = found->second;
    std::ostringstream text;
    text << "request=" << exchange.request.id
         << " after_ms=" << toMilliseconds(now - exchange.arrivedAt).count()
         << " state=" << (exchange.isWaiting() ? "waiting" : "running");
    commands.push_back(RelayCommand::Log{
            makeRecord(RelayLog::CallerLeft, LogRecord::Level::Info, text.str())});
    this->dropAttempt(exchange, commands);
    if (exchange.failureAnswer)
        commands.push_back(RelayCommand::CancelAttempt{*exchange.failureAnswer});
    this->exchanges.erase(found);
    this->placeWaiting(now, commands);
}

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
        // Handled at the end of the answer, so that the connection can be reused.
        running.refusal = head;
        return;
    }
    if (head.isStream && head.status == 200)
        return;
    // The answer to a failed resumption cannot be relayed: the caller's stream is already open.
    if (exchange->isStreamOpen) {
        if (BackendRoster::Row *row = this->backends.find(running.backend))
            row->health.recordFailure(now);
        this->dropAttempt(*exchange, commands);
        this->retryOrAbandon(now, *exchange, "status " + std::to_string(head.status), commands);
        return;
    }
    if (head.status >= 500)
        exchange->failureAnswer = attempt;
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
    const bool failed = exchange->failureAnswer == attempt;
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
    }
    this->releaseSlot(running);
    this->attempts.erase(attempt);
    exchange->attempt.reset();
    if (exchange->isStreamOpen) {
        commands.push_back(RelayCommand::EndStream{exchange->caller});
        this->finish(now, *exchange, "stream", commands);
    } else if (failed && exchange->route.kind == Route::Kind::Idempotent
               && exchange->runs < exchange->route.maxRuns
               && exchange->deadline - now
                          > RelayLimits::MinAttemptTime
                                    + this->waitEstimatorOf(*exchange).meanHoldTime()) {
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
    if (const auto refusal = exchange->attempt->refusal) {
        this->handleRejection(now, *exchange, *refusal, commands);
        this->placeWaiting(now, commands);
        return;
    }
    const bool wasSent = failure != AttemptFailure::NotSent && failure != AttemptFailure::Refused;
    if (BackendRoster::Row *row = this->backends.find(backend))
        wasSent ? row->health.recordFailure(now) : row->health.recordUnreachable(now);
    if (!wasSent && exchange->runs > 0)
        --exchange->runs;
    if (failure == AttemptFailure::Broken)
        this->recordBreak(now, *exchange, commands);
    else if (failure == AttemptFailure::Refused)
        this->recordEnd(now, this->incarnationOf(backend), commands);
    exchange->failedOn.insert(backend);
    if (exchange->failureAnswer == attempt)
        exchange->failureAnswer.reset();
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
    const bool allowed =
            exchange.isKnownNotRun()
            || (exchange.route.mayRunAgain() && exchange.runs < exchange.route.maxRuns);
    if (!allowed || exchange.sends >= MaxSends
        || exchange.deadline - now < RelayLimits::MinAttemptTime) {
        this->abandon(now, exchange, why, commands);
        return;
    }
    if (exchange.notBefore <= now && this->tryPlace(now, exchange, commands))
        return;
    if (const std::string reason = this->reasonToRefuse(now, exchange, 0); !reason.empty())
        this->abandon(now, exchange, reason, commands);
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
        this->dropAttempt(exchange, commands);
        this->exchanges.erase(exchange.caller);
    } else if (exchange.failureAnswer
               && (!exchange.attempt || exchange.attempt->id != *exchange.failureAnswer)) {
        // The error answer of a backend server is more specific than one of this entry.
        this->dropAttempt(exchange, commands);
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

void RelayNode::tick(Instant now, Commands &commands)
{
    if (!this->startedAt)
        this->startedAt = now;
    this->backends.tick(now);
    this->peers.tick(now);
    this->quarantine.tick(now);
    this->checkRestarts(now, commands);
    this->storeQuarantine(now, commands);
    this->cancelBlocked(now, commands);
    this->checkDeadlines(now, commands);
    this->checkSilence(now, commands);
    this->placeWaiting(now, commands);
    std::erase_if(this->backendUses, [this](const auto &entry) {
        return entry.second.running == 0 && this->backends.find(entry.first) == nullptr;
    });
    if (this->units.size() > MaxUnusedUnits)
        this->dropUnusedUnits();
}

void RelayNode::dropUnusedUnits()
{
    std::set<std::string> used;
    for (const auto &[id, row] : this->backends.rows())
        used.insert(row.unit);
    std::erase_if(this->units, [&used](const auto &entry) {
        return used.count(entry.first) == 0 && !entry.second.isInUse();
    });
}

void RelayNode::checkDeadlines(Instant now, Commands &commands)
{
    std::vector<CallerId> due;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (now >= exchange.deadline)
            due.push_back(caller);
    }
    for (const CallerId caller : due)
        this->abandon(now, this->exchanges.at(caller), "deadline", commands);
}

void RelayNode::checkSilence(Instant now, Commands &commands)
{
    std::vector<CallerId> silent;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting() || !exchange.route.mayRunAgain()
            || exchange.runs >= exchange.route.maxRuns)
            continue;
        const bool isStream = exchange.route.kind == Route::Kind::Stream;
        const milliseconds limit = isStream ? MaxStreamSilence : exchange.route.latencyTarget;
        // All ranks of a model group stall together; a retry at another rank would not be faster.
        const bool isUnitActive = !isStream || this->units[exchange.attempt->unit].isActive(now);
        if (isUnitActive && now >= exchange.attempt->lastActivityAt + limit)
            silent.push_back(caller);
    }
    for (const CallerId caller : silent) {
        Exchange &exchange = this->exchanges.at(caller);
        // Without usable slots or time for a retry, the current attempt is kept.
        if (exchange.deadline - now < RelayLimits::MinAttemptTime
            || this->usableSlots(exchange.service, now) == 0)
            continue;
        const std::string backend = exchange.attempt->backend;
        if (BackendRoster::Row *row = this->backends.find(backend))
            row->health.recordFailure(now);
        exchange.failedOn.insert(backend);
        this->dropAttempt(exchange, commands);
        this->retryOrAbandon(now, exchange, "silent", commands);
    }
}

Exchange *RelayNode::findByAttempt(AttemptId attempt)
{
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? nullptr : &this->exchanges.at(found->second);
}

void RelayNode::releaseSlot(const Attempt &attempt)
{
    if (BackendUse &use = this->backendUses[attempt.backend]; use.running > 0)
        --use.running;
    this->units[attempt.unit].requestEnded();
}

void RelayNode::dropAttempt(Exchange &exchange, Commands &commands)
{
    if (!exchange.attempt)
        return;
    this->releaseSlot(*exchange.attempt);
    commands.push_back(RelayCommand::CancelAttempt{exchange.attempt->id});
    this->attempts.erase(exchange.attempt->id);
    exchange.attempt.reset();
}

void RelayNode::refuseUntracked(CallerId caller, const std::string &requestId, int status,
                                milliseconds retryAfter, const std::string &reason,
                                Commands &commands)
{
    RelayCommand::Refuse command{caller, status, std::nullopt, reason};
    if (status == 503)
        command.retryAfter = retryAfter;
    std::ostringstream text;
    text << "request=" << requestId << " status=" << status << " reason=\"" << reason
         << "\" retry_after_ms=" << retryAfter.count()
         << " config=" << this->configurationVersion();
    commands.push_back(command);
    commands.push_back(RelayCommand::Log{
            makeRecord(RelayLog::Refused, LogRecord::Level::Warning, text.str())});
}

void RelayNode::refuse(Instant now, const Exchange &exchange, int status, milliseconds retryAfter,
                       const std::string &reason, Commands &commands)
{
    const CallerId caller = exchange.caller;
    this->dropAttempt(this->exchanges.at(caller), commands);
    std::ostringstream text;
    text << reason << ", service " << exchange.service << ", sends " << exchange.sends << ", runs "
         << exchange.runs << ", after " << toMilliseconds(now - exchange.arrivedAt).count()
         << " ms";
    this->refuseUntracked(caller, exchange.request.id, status, retryAfter, text.str(), commands);
    this->exchanges.erase(caller);
}

void RelayNode::finish(Instant now, const Exchange &exchange, const char *how, Commands &commands)
{
    std::ostringstream text;
    text << "request=" << exchange.request.id << " how=\"" << how
         << "\" service=" << exchange.service << " sends=" << exchange.sends
         << " total_ms=" << toMilliseconds(now - exchange.arrivedAt).count()
         << " waited_ms=" << toMilliseconds(exchange.times.waiting).count()
         << " connected_ms=" << toMilliseconds(exchange.times.connecting).count()
         << " served_ms=" << toMilliseconds(exchange.times.serving).count()
         << " longest_pause_ms=" << toMilliseconds(exchange.times.longestPause).count();
    commands.push_back(RelayCommand::RecordTimes{exchange.service, exchange.times});
    commands.push_back(
            RelayCommand::Log{makeRecord(RelayLog::Answered, LogRecord::Level::Info, text.str())});
    if (exchange.failureAnswer)
        commands.push_back(RelayCommand::CancelAttempt{*exchange.failureAnswer});
    this->exchanges.erase(exchange.caller);
}

void RelayNode::fillReport(Instant now, EntryReport &report)
{
    this->quarantine.fillReports(now, report.crashes);
    this->fillLimits(now, report.limits);
    this->fillLeaving(report.leaving);
    this->fillLoad(report);
}

void RelayNode::fillLoad(EntryReport &report) const
{
    for (const auto &[backend, use] : this->backendUses) {
        if (use.running > 0)
            report.running[backend] = use.running;
    }
    for (const auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting())
            ++report.waiting[exchange.service];
    }
}

LoadSum RelayNode::ownLoad() const
{
    EntryReport report;
    this->fillLoad(report);
    LoadSum load;
    load.add(report);
    return load;
}

} // namespace Nutmegrill
