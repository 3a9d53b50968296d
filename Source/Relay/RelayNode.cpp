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
/// Loads of the other entries change some ten times a second.
constexpr milliseconds BudgetPeriod{20};
/// Groups that form again under other names leave units behind.
constexpr std::size_t MaxUnusedUnits = 64;

milliseconds toMilliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

/// Names the waiting requests of one urgency among those of a service.
std::string waitingKey(const std::string &service, std::uint32_t urgency)
{
    return service + '\n' + std::to_string(urgency);
}

LogRecord makeRecord(std::uint32_t number, LogRecord::Level level, const std::string &text)
{
    return {number, level, text};
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
    const bool isResumableStream = route->kind == Route::Kind::Stream && route->mayRunAgain();
    if (!StopAdmission::endsInTime({now, this->stopAt, exchange.deadline, isResumableStream,
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
    const ServiceWaitEstimator &estimator = this->waitEstimatorOf(exchange);
    exchange.startBy = exchange.targetAt
                       - (this->isLargeFleet(now) ? estimator.highDelay() : estimator.meanDelay());
    this->retryBudgetOf(exchange.service).recordRequest(now);
    this->slotBudgets[exchange.service].recordArrival(now, exchange.urgency(now));
    if (this->isHedging())
        this->hedgeBudgetOf(exchange.service).recordRequest(now);
    const std::uint32_t ahead = this->waitingBefore(exchange, now);
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
         << " state=" << (exchange.isWaiting() ? "waiting" : "running")
         << " sends=" << exchange.sends
         << " backend=" << (exchange.attempt ? exchange.attempt->backend : std::string("none"));
    commands.push_back(RelayCommand::Log{
            makeRecord(RelayLog::CallerLeft, LogRecord::Level::Info, text.str())});
    this->dropAllAttempts(exchange, commands);
    if (exchange.failureAnswer)
        commands.push_back(RelayCommand::CancelAttempt{*exchange.failureAnswer});
    this->exchanges.erase(found);
    this->placeWaiting(now, commands);
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
    this->startSecondAttempts(now, commands);
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

void RelayNode::endOpenRequests(Instant now, Commands &commands)
{
    while (!this->exchanges.empty())
        this->abandon(now, this->exchanges.begin()->second, "planned stop", commands);
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
    if (found == this->attempts.end())
        return nullptr;
    Exchange &exchange = this->exchanges.at(found->second);
    if (exchange.otherAttempt && exchange.otherAttempt->id == attempt)
        std::swap(exchange.attempt, exchange.otherAttempt);
    return &exchange;
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
    exchange.lastBackend = exchange.attempt->backend;
    exchange.attempt = std::exchange(exchange.otherAttempt, std::nullopt);
}

void RelayNode::dropAllAttempts(Exchange &exchange, Commands &commands)
{
    if (exchange.otherAttempt)
        this->noteSecondAttempt(exchange, "cancelled", "", commands);
    while (exchange.attempt)
        this->dropAttempt(exchange, commands);
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
    this->dropAllAttempts(this->exchanges.at(caller), commands);
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
    this->fillLoad(now, report);
}

void RelayNode::fillLoad(Instant now, EntryReport &report) const
{
    for (const auto &[backend, use] : this->backendUses) {
        if (use.running > 0)
            report.running[backend] = use.running;
    }
    for (const auto &[caller, exchange] : this->exchanges) {
        if (!exchange.isWaiting())
            continue;
        ++report.waiting[exchange.service];
        ++report.waiting[waitingKey(exchange.service, exchange.urgency(now))];
    }
}

SlotBudget *RelayNode::slotBudgetOf(Instant now, const Exchange &exchange, std::uint32_t entries)
{
    const ServiceDeclaration *service = this->routes->configuration().findService(exchange.service);
    if (!this->isLargeFleet(now) || service == nullptr
        || service->kind != ServiceDeclaration::Kind::Model)
        return nullptr;
    SlotBudget &budget = this->slotBudgets[exchange.service];
    if (now < budget.updatedAt() + BudgetPeriod)
        return &budget;
    SlotBudget::Load load;
    std::uint32_t here = 0;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != exchange.service || !this->backends.isEligible(row, now)
            || row.health.isSuspended(now))
            continue;
        load.limit +=
                this->units[row.unit].concurrency.share(this->limitBasis(now)) * row.record.slots;
        const auto use = this->backendUses.find(id);
        here += use == this->backendUses.end() ? 0 : use->second.running;
        load.running += this->peers.runningElsewhere(id, now);
    }
    load.running += here;
    load.holdTime = this->waitEstimatorOf(exchange).meanHoldTime();
    load.age = this->peers.loadAge(now);
    load.entries = entries;
    for (const auto &[caller, other] : this->exchanges) {
        if (other.isWaiting() && other.service == exchange.service)
            ++load.waitingHere[other.urgency(now)];
    }
    for (const std::uint32_t urgency : budget.urgencies())
        load.waitingElsewhere[urgency] =
                this->peers.waitingElsewhere(waitingKey(exchange.service, urgency), now);
    budget.update(now, load);
    return &budget;
}

LoadSum RelayNode::ownLoad(Instant now) const
{
    EntryReport report;
    this->fillLoad(now, report);
    LoadSum load;
    load.add(report);
    return load;
}

} // namespace Nutmegrill
