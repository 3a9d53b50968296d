#include "Relay/RelayNode.h"

#include "Relay/Placement.h"
#include "Relay/RelayLog.h"
#include "Relay/WaitingOrder.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Deadline of requests that state none.
constexpr milliseconds DefaultDeadline{30000};
/// Holding times assumed before any was measured.
constexpr milliseconds UsualStreamHold{1200};
constexpr milliseconds UsualCallHold{80};
/// Callers leave a stream that shows no event for two seconds. An event takes some hundred
/// milliseconds after its place, so a wait for a place beyond this one cannot end well.
constexpr milliseconds LongestStreamWait{1300};
/// A plain call waits for a place at most as long as it is still answered on time, twice.
constexpr std::uint32_t CallWaitTargets = 2;
/// A stream that shows no event for this long, while others of its service do, goes on elsewhere.
/// It is thrice the target of the sheets and leaves 0.8 s before callers leave.
constexpr milliseconds LongestSilence{1200};
/// A service counts as alive when any of its backend servers was heard this recently.
constexpr milliseconds ServiceAlive{300};
/// The longest streams of the sheets last this long at twice the usual pause between events.
constexpr milliseconds LongestStream{4500};
/// A service that has turned requests away for this long is not waited for by new ones.
constexpr milliseconds LongestOutageWait{800};
/// Pause that is stated to callers while a service turns requests away: a group that has lost a
/// rank is back after one to four seconds.
constexpr milliseconds OutageRetryAfter{1200};
/// Time for a further attempt: below it an attempt is not worth its place.
constexpr milliseconds LeastAttemptTime{60};
/// Attempts that backend servers turned away as not run, per request.
constexpr std::uint32_t MostSends = 4;
/// Pause before a request that was turned away is offered again.
constexpr milliseconds OfferPause{40};
/// Entries use this part of the connections that a backend server accepts; the rest covers
/// connections that are being closed.
constexpr double ConnectionShare = 0.8;
/// Callers honour a stated pause up to a third of their remaining time.
constexpr int RetryAfterShare = 3;
constexpr milliseconds LeastRetryAfter{100};

milliseconds toMilliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

LogRecord line(std::uint32_t number, LogRecord::Level level, const std::string &text)
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

RelayNode::RelayNode(const Settings &settings) : settings(settings), random(settings.seed) {}

RelayNode::~RelayNode() = default;

void RelayNode::configure(Instant, ConfigurationPtr configuration, Orders &orders)
{
    if (this->routes != nullptr && configuration->version <= this->configurationVersion())
        return;
    std::ostringstream text;
    text << "version=" << configuration->version << " before=" << this->configurationVersion()
         << " routes=" << configuration->routes.size()
         << " services=" << configuration->services.size()
         << " accounts=" << configuration->clientAccounts.size();
    this->routes = std::make_unique<RouteTable>(std::move(configuration));
    orders.push_back(RelayOrder::Log{
            line(RelayLog::ConfigurationInForce, LogRecord::Level::Info, text.str())});
}

std::uint64_t RelayNode::configurationVersion() const
{
    return this->routes == nullptr ? 0 : this->routes->configuration().version;
}

const Configuration *RelayNode::configuration() const
{
    return this->routes == nullptr ? nullptr : &this->routes->configuration();
}

void RelayNode::requestArrived(Instant now, CallerId caller, RelayRequest request, Orders &orders)
{
    if (this->routes == nullptr) {
        this->refuse(now, caller, request.id, 503, milliseconds(500), "no configuration yet",
                     orders);
        return;
    }
    const Route *route = this->routes->find(request.host, request.path);
    if (route == nullptr) {
        this->refuse(now, caller, request.id, 404, {}, "no route", orders);
        return;
    }
    const ClientAccount *account = nullptr;
    if (!this->routes->configuration().clientAccounts.empty() && !route->isPublic) {
        account = this->routes->findAccount(request.key);
        if (account == nullptr) {
            this->refuse(now, caller, request.id, 401, {}, "unknown key", orders);
            return;
        }
    }
    const Route::Target *target = RouteTable::pickTarget(*route, this->random.unit());
    if (target == nullptr) {
        this->refuse(now, caller, request.id, 503, milliseconds(500), "route without a service",
                     orders);
        return;
    }

    if (route->kind == Route::Kind::Stream && now + LongestStream > this->stopAt) {
        // It would be cut by the end of the process; another entry can run it whole.
        this->refuse(now, caller, request.id, 503, LeastRetryAfter, "planned stop", orders);
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
    this->retriesOf(exchange.service).noteFirst(now);
    const std::uint32_t ahead = this->waitingFor(exchange.service);
    Exchange &row = this->exchanges.insert_or_assign(caller, std::move(exchange)).first->second;
    if (ahead == 0 && this->place(now, row, orders))
        return;
    if (const std::string reason = this->reasonToRefuse(now, row, ahead); !reason.empty()) {
        const milliseconds wait = this->loadOf(row).expectedWait(
                ahead, this->usablePlaces(row.service, now), this->shareOfPlaces(row.service, now));
        this->refuse(now, row, 503, this->comeBackAfter(now, row, wait), reason, orders);
    }
}

void RelayNode::callerGone(Instant now, CallerId caller, Orders &orders)
{
    const auto found = this->exchanges.find(caller);
    if (found == this->exchanges.end())
        return;
    Exchange &exchange = found->second;
    std::ostringstream text;
    text << "request=" << exchange.request.id
         << " after_ms=" << toMilliseconds(now - exchange.arrivedAt).count()
         << " state=" << (exchange.isWaiting() ? "waiting" : "running");
    orders.push_back(
            RelayOrder::Log{line(RelayLog::CallerLeft, LogRecord::Level::Info, text.str())});
    this->dropAttempt(now, exchange, orders);
    if (exchange.failureAnswer)
        orders.push_back(RelayOrder::CancelAttempt{*exchange.failureAnswer});
    this->exchanges.erase(found);
    this->placeWaiting(now, orders);
}

void RelayNode::headArrived(Instant now, AttemptId attempt, const AnswerHead &head, Orders &orders)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    Exchange::Attempt &running = *exchange->attempt;
    running.hasHead = true;
    running.heardAt = now;
    this->serviceHeardAt[exchange->service] = now;
    if (BackendRoster::Row *row = this->backends.find(running.backend))
        row->heardAt = now;
    if (head.notRun || head.isMisdirected) {
        // Decided at the end of the answer, so that the connection can be kept.
        running.refusal = head;
        return;
    }
    if (head.isStream && head.status == 200)
        return;
    // A failed resume of an open stream has nothing that could be passed on.
    if (exchange->streamOpen) {
        if (BackendRoster::Row *row = this->backends.find(running.backend))
            row->health.noteFailure(now);
        this->dropAttempt(now, *exchange, orders);
        this->tryAgain(now, *exchange, "status " + std::to_string(head.status), orders);
        return;
    }
    if (head.status >= 500)
        exchange->failureAnswer = attempt;
}

void RelayNode::notRun(Instant now, Exchange &exchange, const AnswerHead &head, Orders &orders)
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
    this->dropAttempt(now, exchange, orders);
    exchange.notBefore = now + (head.isMisdirected ? milliseconds(0) : OfferPause);
    this->tryAgain(now, exchange, "not run, status " + std::to_string(head.status), orders);
}

void RelayNode::eventArrived(Instant now, AttemptId attempt, StreamEvent event, Orders &orders)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    if (exchange->attempt->hasEvent)
        this->paces[exchange->service].notePause(now, now - exchange->attempt->heardAt,
                                                 exchange->route.pauseTarget);
    exchange->attempt->heardAt = now;
    exchange->attempt->hasEvent = true;
    this->circuits[exchange->service].noteServed();
    this->serviceHeardAt[exchange->service] = now;
    if (BackendRoster::Row *row = this->backends.find(exchange->attempt->backend))
        row->heardAt = now;
    // A resumed run may repeat events that the caller has.
    if (event.id && exchange->lastEvent && *event.id <= *exchange->lastEvent)
        return;
    if (!exchange->streamOpen) {
        exchange->streamOpen = true;
        orders.push_back(RelayOrder::OpenStream{exchange->caller, attempt});
    }
    if (event.id)
        exchange->lastEvent = event.id;
    orders.push_back(RelayOrder::SendEvent{exchange->caller, std::move(event.bytes)});
}

void RelayNode::answerEnded(Instant now, AttemptId attempt, Orders &orders)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    const Exchange::Attempt running = *exchange->attempt;
    if (running.refusal) {
        this->notRun(now, *exchange, *running.refusal, orders);
        this->placeWaiting(now, orders);
        return;
    }
    const bool failed = exchange->failureAnswer == attempt;
    if (BackendRoster::Row *row = this->backends.find(running.backend)) {
        row->heardAt = now;
        failed ? row->health.noteFailure(now) : row->health.noteSuccess(now);
    }
    this->circuits[exchange->service].noteServed();
    this->loadOf(*exchange).noteHold(now - running.sentAt);
    this->releasePlace(running.backend);
    this->attempts.erase(attempt);
    exchange->attempt.reset();
    if (exchange->streamOpen) {
        orders.push_back(RelayOrder::EndStream{exchange->caller});
        this->finish(now, *exchange, "stream", 200, orders);
    } else if (failed && exchange->route.kind == Route::Kind::Idempotent
               && exchange->runs < exchange->route.maxRuns
               && exchange->deadline - now
                          > LeastAttemptTime + this->loadOf(*exchange).meanHold()) {
        exchange->failedOn.insert(running.backend);
        if (!this->place(now, *exchange, orders))
            this->giveUp(now, *exchange, "failure without another backend server", orders);
        return;
    } else {
        orders.push_back(RelayOrder::RelayAnswer{exchange->caller, attempt});
        this->finish(now, *exchange, failed ? "failure of the backend server" : "answer", 0,
                     orders);
    }
    this->placeWaiting(now, orders);
}

void RelayNode::attemptFailed(Instant now, AttemptId attempt, AttemptFailure failure,
                              Orders &orders)
{
    Exchange *exchange = this->byAttempt(attempt);
    if (exchange == nullptr)
        return;
    const std::string backend = exchange->attempt->backend;
    if (const auto refusal = exchange->attempt->refusal) {
        this->notRun(now, *exchange, *refusal, orders);
        this->placeWaiting(now, orders);
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
    this->dropAttempt(now, *exchange, orders);
    this->tryAgain(now, *exchange, describe(failure), orders);
    this->placeWaiting(now, orders);
}

void RelayNode::tryAgain(Instant now, Exchange &exchange, const std::string &why, Orders &orders)
{
    std::ostringstream text;
    text << "request=" << exchange.request.id << " why=\"" << why << "\" sends=" << exchange.sends
         << " runs=" << exchange.runs
         << " last_event=" << (exchange.lastEvent ? std::to_string(*exchange.lastEvent) : "none")
         << " left_ms=" << toMilliseconds(exchange.deadline - now).count();
    orders.push_back(
            RelayOrder::Log{line(RelayLog::AttemptFailed, LogRecord::Level::Warning, text.str())});
    const bool allowed =
            exchange.isCertainlyNotRun()
            || (exchange.route.mayRunAgain() && exchange.runs < exchange.route.maxRuns);
    if (!allowed || exchange.sends >= MostSends || exchange.deadline - now < LeastAttemptTime) {
        this->giveUp(now, exchange, why, orders);
        return;
    }
    if (exchange.notBefore <= now && this->place(now, exchange, orders))
        return;
    if (const std::string reason = this->reasonToRefuse(now, exchange, 0); !reason.empty())
        this->giveUp(now, exchange, reason, orders);
}

void RelayNode::giveUp(Instant now, Exchange &exchange, const std::string &why, Orders &orders)
{
    if (exchange.streamOpen) {
        orders.push_back(RelayOrder::CutCaller{exchange.caller});
        std::ostringstream text;
        text << "request=" << exchange.request.id << " why=\"" << why << "\" last_event="
             << (exchange.lastEvent ? std::to_string(*exchange.lastEvent) : "none");
        orders.push_back(
                RelayOrder::Log{line(RelayLog::StreamCut, LogRecord::Level::Warning, text.str())});
        this->dropAttempt(now, exchange, orders);
        this->exchanges.erase(exchange.caller);
    } else if (exchange.failureAnswer
               && (!exchange.attempt || exchange.attempt->id != *exchange.failureAnswer)) {
        // The failure that a backend server stated says more than one of our own.
        this->dropAttempt(now, exchange, orders);
        orders.push_back(RelayOrder::RelayAnswer{exchange.caller, *exchange.failureAnswer});
        this->finish(now, exchange, "failure of the backend server", 0, orders);
    } else if (exchange.isCertainlyNotRun()) {
        const milliseconds wait = this->loadOf(exchange).expectedWait(
                this->waitingFor(exchange.service), this->usablePlaces(exchange.service, now),
                this->shareOfPlaces(exchange.service, now));
        this->refuse(now, exchange, 503, this->comeBackAfter(now, exchange, wait), why, orders);
    } else {
        this->refuse(now, exchange, now >= exchange.deadline ? 504 : 502, {}, why, orders);
    }
}

void RelayNode::tick(Instant now, Orders &orders)
{
    this->backends.tick(now);
    this->peers.tick(now);
    this->checkDeadlines(now, orders);
    this->checkSilence(now, orders);
    this->placeWaiting(now, orders);
    std::erase_if(this->uses, [this](const auto &entry) {
        return entry.second.running == 0 && this->backends.find(entry.first) == nullptr;
    });
}

void RelayNode::checkDeadlines(Instant now, Orders &orders)
{
    std::vector<CallerId> due;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (now >= exchange.deadline)
            due.push_back(caller);
    }
    for (const CallerId caller : due)
        this->giveUp(now, this->exchanges.at(caller), "deadline", orders);
}

void RelayNode::checkSilence(Instant now, Orders &orders)
{
    std::vector<CallerId> silent;
    for (const auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting() || !exchange.route.mayRunAgain()
            || exchange.runs >= exchange.route.maxRuns)
            continue;
        const bool isStream = exchange.route.kind == Route::Kind::Stream;
        const milliseconds limit = isStream ? LongestSilence : exchange.route.latencyTarget;
        const auto heard = this->serviceHeardAt.find(exchange.service);
        // All ranks of a model group stall together; then no other one would be faster.
        const bool serviceAlive =
                !isStream
                || (heard != this->serviceHeardAt.end() && now < heard->second + ServiceAlive);
        if (serviceAlive && now >= exchange.attempt->heardAt + limit)
            silent.push_back(caller);
    }
    for (const CallerId caller : silent) {
        Exchange &exchange = this->exchanges.at(caller);
        // Without a place elsewhere, the present attempt is the best one.
        if (exchange.deadline - now < LeastAttemptTime
            || this->usablePlaces(exchange.service, now) == 0)
            continue;
        const std::string backend = exchange.attempt->backend;
        if (BackendRoster::Row *row = this->backends.find(backend))
            row->health.noteFailure(now);
        exchange.failedOn.insert(backend);
        this->dropAttempt(now, exchange, orders);
        this->tryAgain(now, exchange, "silent", orders);
    }
}

void RelayNode::placeWaiting(Instant now, Orders &orders)
{
    std::map<std::string, std::vector<Exchange *>> lines;
    for (auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting())
            lines[exchange.service].push_back(&exchange);
    }
    for (auto &[service, line] : lines) {
        std::sort(line.begin(), line.end(), [now](const Exchange *left, const Exchange *right) {
            return isServedBefore(*left, *right, now);
        });
        std::uint32_t ahead = 0;
        for (Exchange *exchange : line) {
            if (exchange->notBefore <= now && this->place(now, *exchange, orders))
                continue;
            const std::string reason = this->reasonToRefuse(now, *exchange, ahead);
            if (reason.empty())
                ++ahead;
            else
                this->giveUp(now, *exchange, reason, orders);
        }
    }
}

bool RelayNode::place(Instant now, Exchange &exchange, Orders &orders)
{
    ServiceCircuit &circuit = this->circuits[exchange.service];
    if (!circuit.maySend(now))
        return false;
    const ServiceDeclaration *service = this->routes->configuration().findService(exchange.service);
    const std::uint32_t entries = this->peers.entryCount(now);
    const double coldRate = service == nullptr ? 0 : service->coldRequestsPerSecond;
    const PaceLimit &pace = this->paces[exchange.service];
    std::vector<PlacementCandidate> candidates;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != exchange.service || !this->backends.mayWork(row, now)
            || row.health.isSuspended(now) || exchange.failedOn.count(id) != 0)
            continue;
        BackendUse &use = this->uses[id];
        const bool isCold = coldRate > 0 && now < row.coldUntil;
        if (coldRate > 0 && !use.cold.hasRoom(now, coldRate, entries))
            continue;
        candidates.push_back({id, pace.limit(row.record.slots),
                              use.running + this->peers.runningElsewhere(id, now),
                              row.health.failureShare(now), isCold});
    }
    const std::optional<std::string> chosen = placeRequest(candidates, this->random);
    if (!chosen || (exchange.sends > 0 && !this->retriesOf(exchange.service).take(now, entries)))
        return false;
    circuit.noteSent(now);

    const BackendRoster::Row &row = *this->backends.find(*chosen);
    BackendUse &use = this->uses[*chosen];
    // A backend server can turn cold without notice, so the cold rate holds at all times.
    if (coldRate > 0)
        use.cold.take(now, coldRate, entries);
    ++use.running;
    const AttemptId attempt = this->nextAttempt++;
    Exchange::Attempt &started = exchange.attempt.emplace();
    started.id = attempt;
    started.backend = *chosen;
    started.sentAt = now;
    started.heardAt = now;
    ++exchange.runs;
    ++exchange.sends;
    this->attempts.emplace(attempt, exchange.caller);

    RelayOrder::StartAttempt start;
    start.caller = exchange.caller;
    start.attempt = attempt;
    start.backend = *chosen;
    start.address = row.record.address;
    start.account = exchange.account;
    start.timeLeft = toMilliseconds(exchange.deadline - now);
    start.lastEvent = exchange.lastEvent;
    if (service != nullptr && service->maxConnections > 0)
        start.maxConnections =
                std::max(1U, static_cast<std::uint32_t>(ConnectionShare * service->maxConnections
                                                        / entries));
    std::ostringstream text;
    text << "request=" << exchange.request.id << " route=" << exchange.route.name
         << " service=" << exchange.service << " backend=" << *chosen << " send=" << exchange.sends
         << " waited_ms=" << toMilliseconds(now - exchange.arrivedAt).count()
         << " left_ms=" << start.timeLeft.count() << " running_here=" << use.running
         << " running_elsewhere=" << this->peers.runningElsewhere(*chosen, now)
         << " cold=" << (now < row.coldUntil) << " config=" << this->configurationVersion();
    orders.push_back(start);
    orders.push_back(
            RelayOrder::Log{line(RelayLog::AttemptStarted, LogRecord::Level::Info, text.str())});
    return true;
}

std::string RelayNode::reasonToRefuse(Instant now, const Exchange &exchange, std::uint32_t ahead)
{
    const std::uint32_t places = this->usablePlaces(exchange.service, now);
    if (places == 0)
        return "no usable backend server";
    const ServiceCircuit &circuit = this->circuits[exchange.service];
    if (circuit.isOpen() && exchange.arrivedAt > *circuit.openSince() + LongestOutageWait)
        return "the service turns requests away";
    const milliseconds wait = this->loadOf(exchange).expectedWait(
            ahead, places, this->shareOfPlaces(exchange.service, now));
    const Instant latest =
            exchange.route.kind == Route::Kind::Stream
                    ? exchange.arrivedAt + LongestStreamWait
                    : exchange.arrivedAt + CallWaitTargets * exchange.route.latencyTarget;
    if (now + wait > std::min(latest, exchange.deadline - LeastAttemptTime))
        return "no place in time";
    return {};
}

std::chrono::milliseconds RelayNode::comeBackAfter(Instant now, const Exchange &exchange,
                                                   milliseconds wait)
{
    if (this->circuits[exchange.service].isOpen())
        wait = std::max(wait, OutageRetryAfter);
    // Spread over as much time again, so that refused callers do not return together.
    const milliseconds longest = toMilliseconds(exchange.deadline - now) / RetryAfterShare;
    const milliseconds spread(
            static_cast<std::int64_t>(this->random.unit() * static_cast<double>(wait.count())));
    return std::max(LeastRetryAfter, std::min(wait + spread, longest));
}

std::uint32_t RelayNode::usablePlaces(const std::string &service, Instant now) const
{
    const auto pace = this->paces.find(service);
    std::uint32_t places = 0;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service == service && this->backends.mayWork(row, now)
            && !row.health.isSuspended(now))
            places += pace == this->paces.end() ? row.record.slots
                                                : pace->second.limit(row.record.slots);
    }
    return places;
}

double RelayNode::shareOfPlaces(const std::string &service, Instant now) const
{
    const std::uint32_t here = this->waitingFor(service) + 1;
    return static_cast<double>(here) / (here + this->peers.waitingElsewhere(service, now));
}

std::uint32_t RelayNode::waitingFor(const std::string &service) const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->exchanges.begin(), this->exchanges.end(), [&](const auto &entry) {
                return entry.second.service == service && entry.second.isWaiting();
            }));
}

ServiceLoad &RelayNode::loadOf(const Exchange &exchange)
{
    const auto usual = exchange.route.kind == Route::Kind::Stream ? UsualStreamHold : UsualCallHold;
    return this->loads.try_emplace(exchange.service, usual).first->second;
}

RetryShare &RelayNode::retriesOf(const std::string &service)
{
    return this->retries.try_emplace(service, this->settings.retryLimit, this->settings.retryWindow)
            .first->second;
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

void RelayNode::dropAttempt(Instant, Exchange &exchange, Orders &orders)
{
    if (!exchange.attempt)
        return;
    this->releasePlace(exchange.attempt->backend);
    orders.push_back(RelayOrder::CancelAttempt{exchange.attempt->id});
    this->attempts.erase(exchange.attempt->id);
    exchange.attempt.reset();
}

void RelayNode::refuse(Instant, CallerId caller, const std::string &requestId, int status,
                       milliseconds retryAfter, const std::string &reason, Orders &orders)
{
    RelayOrder::Refuse order{caller, status, std::nullopt, reason};
    if (status == 503)
        order.retryAfter = retryAfter;
    std::ostringstream text;
    text << "request=" << requestId << " status=" << status << " reason=\"" << reason
         << "\" retry_after_ms=" << retryAfter.count()
         << " config=" << this->configurationVersion();
    orders.push_back(order);
    orders.push_back(
            RelayOrder::Log{line(RelayLog::Refused, LogRecord::Level::Warning, text.str())});
}

void RelayNode::refuse(Instant now, const Exchange &exchange, int status, milliseconds retryAfter,
                       const std::string &reason, Orders &orders)
{
    const CallerId caller = exchange.caller;
    this->dropAttempt(now, this->exchanges.at(caller), orders);
    std::ostringstream text;
    text << reason << ", service " << exchange.service << ", sends " << exchange.sends << ", runs "
         << exchange.runs << ", after " << toMilliseconds(now - exchange.arrivedAt).count()
         << " ms";
    this->refuse(now, caller, exchange.request.id, status, retryAfter, text.str(), orders);
    this->exchanges.erase(caller);
}

void RelayNode::finish(Instant now, const Exchange &exchange, const char *how, int, Orders &orders)
{
    std::ostringstream text;
    text << "request=" << exchange.request.id << " how=\"" << how
         << "\" service=" << exchange.service << " sends=" << exchange.sends
         << " total_ms=" << toMilliseconds(now - exchange.arrivedAt).count();
    orders.push_back(RelayOrder::Log{line(RelayLog::Answered, LogRecord::Level::Info, text.str())});
    if (exchange.failureAnswer)
        orders.push_back(RelayOrder::CancelAttempt{*exchange.failureAnswer});
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
