#include "Relay/RelayNode.h"

#include "Relay/RelayLimits.h"
#include "Relay/RelayLog.h"

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
/// A service is active when any of its backend servers sent a head or an event within this time.
constexpr milliseconds ServiceActivityWindow{300};
/// Expected duration of the longest streams at twice the usual pause between events.
constexpr milliseconds MaxStreamDuration{4500};
/// Attempts per request, including those that backend servers rejected as not run.
constexpr std::uint32_t MaxSends = 4;
/// Backoff before a request that a backend server rejected as not run is sent again.
constexpr milliseconds RejectionBackoff{40};

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

void RelayNode::setRetryLimit(const RetryShare::Limit &limit)
{
    this->settings.retryLimit = limit;
    for (auto &[service, share] : this->retries)
        share.setLimit(limit);
}

void RelayNode::configure(ConfigurationPtr configuration, Orders &commands)
{
    if (this->routes != nullptr && configuration->version <= this->configurationVersion())
        return;
    std::ostringstream text;
    text << "version=" << configuration->version << " before=" << this->configurationVersion()
         << " routes=" << configuration->routes.size()
         << " services=" << configuration->services.size()
         << " accounts=" << configuration->clientAccounts.size();
    this->routes = std::make_unique<RouteTable>(std::move(configuration));
    commands.push_back(RelayOrder::Log{
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

void RelayNode::requestArrived(Instant now, CallerId caller, RelayRequest request, Orders &commands)
{
    if (!this->startedAt)
        this->startedAt = now;
    if (this->routes == nullptr) {
        this->refuseUnknown(caller, request.id, 503, milliseconds(500), "no configuration yet",
                            commands);
        return;
    }
    const Route *route = this->routes->find(request.host, request.path);
    if (route == nullptr) {
        this->refuseUnknown(caller, request.id, 404, {}, "no route", commands);
        return;
    }
    const ClientAccount *account = nullptr;
    if (!this->routes->configuration().clientAccounts.empty() && !route->isPublic) {
        account = this->routes->findAccount(request.key);
        if (account == nullptr) {
            this->refuseUnknown(caller, request.id, 401, {}, "unknown key", commands);
            return;
        }
    }
    const Route::Target *target = RouteTable::pickTarget(*route, this->random.unit());
    if (target == nullptr) {
        this->refuseUnknown(caller, request.id, 503, milliseconds(500), "route without a service",
                            commands);
        return;
    }

    if (route->kind == Route::Kind::Stream && now + MaxStreamDuration > this->stopAt) {
        // The process could end before the stream; another entry can complete it.
        this->refuseUnknown(caller, request.id, 503, RelayLimits::LeastRetryAfter, "planned stop",
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
    exchange.targetAt = now + route->latencyTarget;
    exchange.deadline = now + std::min(request.timeLeft.value_or(DefaultDeadline), route->timeout);
    exchange.lastEvent = request.lastEvent;
    exchange.request = std::move(request);
    exchange.accountRank = static_cast<std::uint32_t>(
            std::count_if(this->exchanges.begin(), this->exchanges.end(), [&](const auto &entry) {
                return entry.second.account == exchange.account
                       && entry.second.service == exchange.service;
            }));
    exchange.startBy = exchange.targetAt - this->loadOf(exchange).meanDelay();
    this->retriesOf(exchange.service).noteFirst(now);
    const std::uint32_t ahead = this->waitingFor(exchange.service);
    Exchange &row = this->exchanges.insert_or_assign(caller, std::move(exchange)).first->second;
    if (ahead == 0 && this->place(now, row, commands))
        return;
    if (const std::string reason = this->reasonToRefuse(now, row, ahead); !reason.empty()) {
        const milliseconds wait = this->loadOf(row).expectedWait(
                ahead, this->usablePlaces(row.service, now), this->shareOfPlaces(row.service, now));
        this->refuse(now, row, 503, this->comeBackAfter(now, row, wait), reason, commands);
    }
}

void RelayNode::callerGone(Instant now, CallerId caller, Orders &commands)
{
    const auto found = this->exchanges.find(caller);
    if (found == this->exchanges.end())
        return;
    Exchange &exchange = found->second;
    std::ostringstream text;
    text << "request=" << exchange.request.id
         << " after_ms=" << toMilliseconds(now - exchange.arrivedAt).count()
         << " state=" << (exchange.isWaiting() ? "waiting" : "running");
    commands.push_back(
            RelayOrder::Log{makeRecord(RelayLog::CallerLeft, LogRecord::Level::Info, text.str())});
    this->dropAttempt(exchange, commands);
    if (exchange.failureAnswer)
        commands.push_back(RelayOrder::CancelAttempt{*exchange.failureAnswer});
    this->exchanges.erase(found);
    this->placeWaiting(now, commands);
}

void RelayNode::headArrived(Instant now, AttemptId attempt, const AnswerHead &head,
                            Orders &commands)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    Attempt &running = *exchange->attempt;
    running.hasHead = true;
    running.heardAt = now;
    this->serviceHeardAt[exchange->service] = now;
    if (BackendRoster::Row *row = this->backends.find(running.backend)) {
        row->heardAt = now;
        if (head.load)
            row->statedLoad = head.load->running + head.load->waiting;
    }
    if (head.notRun || head.isMisdirected) {
        // Handled at the end of the answer, so that the connection can be reused.
        running.refusal = head;
        return;
    }
    if (head.isStream && head.status == 200)
        return;
    // The answer to a failed resumption cannot be relayed: the caller's stream is already open.
    if (exchange->streamOpen) {
        if (BackendRoster::Row *row = this->backends.find(running.backend))
            row->health.noteFailure(now);
        this->dropAttempt(*exchange, commands);
        this->tryAgain(now, *exchange, "status " + std::to_string(head.status), commands);
        return;
    }
    if (head.status >= 500)
        exchange->failureAnswer = attempt;
}

void RelayNode::notRun(Instant now, Exchange &exchange, const AnswerHead &head, Orders &commands)
{
    const std::string backend = exchange.attempt->backend;
    if (BackendRoster::Row *row = this->backends.find(backend)) {
        if (head.isMisdirected)
            row->health.noteReplaced(now);
    }
    if (!head.isMisdirected)
        this->circuits[exchange.service].noteRejected(now, backend);
    if (exchange.runs > 0)
        --exchange.runs;
    if (head.isMisdirected)
        exchange.failedOn.insert(backend);
    this->dropAttempt(exchange, commands);
    exchange.notBefore = now + (head.isMisdirected ? milliseconds(0) : RejectionBackoff);
    this->tryAgain(now, exchange, "not run, status " + std::to_string(head.status), commands);
}

void RelayNode::eventArrived(Instant now, AttemptId attempt, StreamEvent event, Orders &commands)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    if (exchange->attempt->hasEvent)
        this->paces[exchange->service].notePause(now, now - exchange->attempt->heardAt,
                                                 exchange->route.pauseTarget);
    else
        this->loadOf(*exchange).noteDelay(now - exchange->attempt->sentAt);
    exchange->attempt->heardAt = now;
    exchange->attempt->hasEvent = true;
    this->circuits[exchange->service].noteServed();
    this->serviceHeardAt[exchange->service] = now;
    if (BackendRoster::Row *row = this->backends.find(exchange->attempt->backend))
        row->heardAt = now;
    // A resumed stream may repeat events that the caller already received.
    if (event.id && exchange->lastEvent && *event.id <= *exchange->lastEvent)
        return;
    if (!exchange->streamOpen) {
        exchange->streamOpen = true;
        commands.push_back(RelayOrder::OpenStream{exchange->caller, attempt});
    }
    if (event.id)
        exchange->lastEvent = event.id;
    commands.push_back(RelayOrder::SendEvent{exchange->caller, std::move(event.bytes)});
}

void RelayNode::answerEnded(Instant now, AttemptId attempt, Orders &commands)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    const Attempt running = *exchange->attempt;
    if (running.refusal) {
        this->notRun(now, *exchange, *running.refusal, commands);
        this->placeWaiting(now, commands);
        return;
    }
    const bool failed = exchange->failureAnswer == attempt;
    if (BackendRoster::Row *row = this->backends.find(running.backend)) {
        row->heardAt = now;
        failed ? row->health.noteFailure(now) : row->health.noteSuccess(now);
    }
    this->circuits[exchange->service].noteServed();
    this->loadOf(*exchange).noteHold(now - running.sentAt);
    if (!running.hasEvent)
        this->loadOf(*exchange).noteDelay(now - running.sentAt);
    this->releasePlace(running.backend);
    this->attempts.erase(attempt);
    exchange->attempt.reset();
    if (exchange->streamOpen) {
        commands.push_back(RelayOrder::EndStream{exchange->caller});
        this->finish(now, *exchange, "stream", commands);
    } else if (failed && exchange->route.kind == Route::Kind::Idempotent
               && exchange->runs < exchange->route.maxRuns
               && exchange->deadline - now
                          > RelayLimits::LeastAttemptTime + this->loadOf(*exchange).meanHold()) {
        exchange->failedOn.insert(running.backend);
        if (!this->place(now, *exchange, commands))
            this->giveUp(now, *exchange, "failure without another backend server", commands);
        return;
    } else {
        commands.push_back(RelayOrder::RelayAnswer{exchange->caller, attempt});
        this->finish(now, *exchange, failed ? "failure of the backend server" : "answer", commands);
    }
    this->placeWaiting(now, commands);
}

void RelayNode::attemptFailed(Instant now, AttemptId attempt, AttemptFailure failure,
                              Orders &commands)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    const std::string backend = exchange->attempt->backend;
    if (const auto refusal = exchange->attempt->refusal) {
        this->notRun(now, *exchange, *refusal, commands);
        this->placeWaiting(now, commands);
        return;
    }
    if (BackendRoster::Row *row = this->backends.find(backend))
        failure == AttemptFailure::NotSent ? row->health.noteUnreachable(now)
                                           : row->health.noteFailure(now);
    if (failure == AttemptFailure::NotSent && exchange->runs > 0)
        --exchange->runs;
    exchange->failedOn.insert(backend);
    if (exchange->failureAnswer == attempt)
        exchange->failureAnswer.reset();
    this->dropAttempt(*exchange, commands);
    this->tryAgain(now, *exchange, describe(failure), commands);
    this->placeWaiting(now, commands);
}

void RelayNode::tryAgain(Instant now, Exchange &exchange, const std::string &why, Orders &commands)
{
    std::ostringstream text;
    text << "request=" << exchange.request.id << " why=\"" << why << "\" sends=" << exchange.sends
         << " runs=" << exchange.runs
         << " last_event=" << (exchange.lastEvent ? std::to_string(*exchange.lastEvent) : "none")
         << " left_ms=" << toMilliseconds(exchange.deadline - now).count();
    commands.push_back(RelayOrder::Log{
            makeRecord(RelayLog::AttemptFailed, LogRecord::Level::Warning, text.str())});
    const bool allowed =
            exchange.isCertainlyNotRun()
            || (exchange.route.mayRunAgain() && exchange.runs < exchange.route.maxRuns);
    if (!allowed || exchange.sends >= MaxSends
        || exchange.deadline - now < RelayLimits::LeastAttemptTime) {
        this->giveUp(now, exchange, why, commands);
        return;
    }
    if (exchange.notBefore <= now && this->place(now, exchange, commands))
        return;
    if (const std::string reason = this->reasonToRefuse(now, exchange, 0); !reason.empty())
        this->giveUp(now, exchange, reason, commands);
}

void RelayNode::giveUp(Instant now, Exchange &exchange, const std::string &why, Orders &commands)
{
    if (exchange.streamOpen) {
        commands.push_back(RelayOrder::CutCaller{exchange.caller});
        std::ostringstream text;
        text << "request=" << exchange.request.id << " why=\"" << why << "\" last_event="
             << (exchange.lastEvent ? std::to_string(*exchange.lastEvent) : "none");
        commands.push_back(RelayOrder::Log{
                makeRecord(RelayLog::StreamCut, LogRecord::Level::Warning, text.str())});
        this->dropAttempt(exchange, commands);
        this->exchanges.erase(exchange.caller);
    } else if (exchange.failureAnswer
               && (!exchange.attempt || exchange.attempt->id != *exchange.failureAnswer)) {
        // The error answer of a backend server is more specific than one of this entry.
        this->dropAttempt(exchange, commands);
        commands.push_back(RelayOrder::RelayAnswer{exchange.caller, *exchange.failureAnswer});
        this->finish(now, exchange, "failure of the backend server", commands);
    } else if (exchange.isCertainlyNotRun()) {
        const milliseconds wait = this->loadOf(exchange).expectedWait(
                this->waitingFor(exchange.service), this->usablePlaces(exchange.service, now),
                this->shareOfPlaces(exchange.service, now));
        this->refuse(now, exchange, 503, this->comeBackAfter(now, exchange, wait), why, commands);
    } else {
        this->refuse(now, exchange, now >= exchange.deadline ? 504 : 502, {}, why, commands);
    }
}

void RelayNode::tick(Instant now, Orders &commands)
{
    if (!this->startedAt)
        this->startedAt = now;
    this->backends.tick(now);
    this->peers.tick(now);
    this->checkDeadlines(now, commands);
    this->checkSilence(now, commands);
    this->placeWaiting(now, commands);
    std::erase_if(this->uses, [this](const auto &entry) {
        return entry.second.running == 0 && this->backends.find(entry.first) == nullptr;
    });
}

void RelayNode::checkDeadlines(Instant now, Orders &commands)
{
    std::vector<CallerId> due;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (now >= exchange.deadline)
            due.push_back(caller);
    }
    for (const CallerId caller : due)
        this->giveUp(now, this->exchanges.at(caller), "deadline", commands);
}

void RelayNode::checkSilence(Instant now, Orders &commands)
{
    std::vector<CallerId> silent;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting() || !exchange.route.mayRunAgain()
            || exchange.runs >= exchange.route.maxRuns)
            continue;
        const bool isStream = exchange.route.kind == Route::Kind::Stream;
        const milliseconds limit = isStream ? MaxStreamSilence : exchange.route.latencyTarget;
        const auto lastActivity = this->serviceHeardAt.find(exchange.service);
        // All ranks of a model group stall together; a retry at another rank would not be faster.
        const bool isServiceActive = !isStream
                                     || (lastActivity != this->serviceHeardAt.end()
                                         && now < lastActivity->second + ServiceActivityWindow);
        if (isServiceActive && now >= exchange.attempt->heardAt + limit)
            silent.push_back(caller);
    }
    for (const CallerId caller : silent) {
        Exchange &exchange = this->exchanges.at(caller);
        // Without usable slots or time for a retry, the current attempt is kept.
        if (exchange.deadline - now < RelayLimits::LeastAttemptTime
            || this->usablePlaces(exchange.service, now) == 0)
            continue;
        const std::string backend = exchange.attempt->backend;
        if (BackendRoster::Row *row = this->backends.find(backend))
            row->health.noteFailure(now);
        exchange.failedOn.insert(backend);
        this->dropAttempt(exchange, commands);
        this->tryAgain(now, exchange, "silent", commands);
    }
}

Exchange *RelayNode::byAttempt(AttemptId attempt)
{
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? nullptr : &this->exchanges.at(found->second);
}

void RelayNode::releasePlace(const std::string &backend)
{
    if (BackendUse &use = this->uses[backend]; use.running > 0)
        --use.running;
}

void RelayNode::dropAttempt(Exchange &exchange, Orders &commands)
{
    if (!exchange.attempt)
        return;
    this->releasePlace(exchange.attempt->backend);
    commands.push_back(RelayOrder::CancelAttempt{exchange.attempt->id});
    this->attempts.erase(exchange.attempt->id);
    exchange.attempt.reset();
}

void RelayNode::refuseUnknown(CallerId caller, const std::string &requestId, int status,
                              milliseconds retryAfter, const std::string &reason, Orders &commands)
{
    RelayOrder::Refuse command{caller, status, std::nullopt, reason};
    if (status == 503)
        command.retryAfter = retryAfter;
    std::ostringstream text;
    text << "request=" << requestId << " status=" << status << " reason=\"" << reason
         << "\" retry_after_ms=" << retryAfter.count()
         << " config=" << this->configurationVersion();
    commands.push_back(command);
    commands.push_back(
            RelayOrder::Log{makeRecord(RelayLog::Refused, LogRecord::Level::Warning, text.str())});
}

void RelayNode::refuse(Instant now, const Exchange &exchange, int status, milliseconds retryAfter,
                       const std::string &reason, Orders &commands)
{
    const CallerId caller = exchange.caller;
    this->dropAttempt(this->exchanges.at(caller), commands);
    std::ostringstream text;
    text << reason << ", service " << exchange.service << ", sends " << exchange.sends << ", runs "
         << exchange.runs << ", after " << toMilliseconds(now - exchange.arrivedAt).count()
         << " ms";
    this->refuseUnknown(caller, exchange.request.id, status, retryAfter, text.str(), commands);
    this->exchanges.erase(caller);
}

void RelayNode::finish(Instant now, const Exchange &exchange, const char *how, Orders &commands)
{
    std::ostringstream text;
    text << "request=" << exchange.request.id << " how=\"" << how
         << "\" service=" << exchange.service << " sends=" << exchange.sends
         << " total_ms=" << toMilliseconds(now - exchange.arrivedAt).count();
    commands.push_back(
            RelayOrder::Log{makeRecord(RelayLog::Answered, LogRecord::Level::Info, text.str())});
    if (exchange.failureAnswer)
        commands.push_back(RelayOrder::CancelAttempt{*exchange.failureAnswer});
    this->exchanges.erase(exchange.caller);
}

void RelayNode::fillReport(EntryReport &report) const
{
    for (const auto &[backend, use] : this->uses) {
        if (use.running > 0)
            report.running[backend] = use.running;
    }
    for (const auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting())
            ++report.waiting[exchange.service];
    }
}

} // namespace Nutmegrill
