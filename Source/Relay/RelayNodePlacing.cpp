// The part of RelayNode that queues requests, assigns slots of backend servers and refuses
// requests.

#include "Relay/AdmissionInput.h"
#include "Relay/RelayLimits.h"
#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"

#include <algorithm>
#include <sstream>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Initial estimates of the time for which a request holds its slot.
constexpr milliseconds DefaultStreamHoldTime{1200};
constexpr milliseconds DefaultCallHoldTime{80};
/// Initial estimate of the delay until the first event: two steps of a group.
constexpr milliseconds DefaultFirstEventDelay{150};
/// Minimum of the wait from which Retry-After is derived while the circuit breaker of a service is
/// open: a group that has lost a rank is back after one to four seconds.
constexpr milliseconds MinOutageRetryAfter{1200};
/// Quarantined requests stay refused for minutes.
constexpr milliseconds QuarantineRetryAfter{10000};
/// Share of a backend server's connection limit that the entries use; the rest covers connections
/// that are being closed.
constexpr double ConnectionShare = 0.8;
/// Share of the cold rate that an entry uses at cold backend servers in its first second: the rate
/// window still contains the requests of its previous start. Platforms tolerate 1.5 times the rate,
/// which covers three restarts of all entries within a second.
constexpr double StartupColdRateShare = 0.25;
constexpr milliseconds StartupPeriod{1000};
/// A warm backend server gets up to this multiple of its cold rate, which platforms tolerate also
/// when it becomes cold without notice.
constexpr double WarmRateFactor = 1.5;
/// The entries that use a scarce cold rate change only with the entries.
constexpr milliseconds ChoicePeriod{500};
/// An agent that has not answered is asked again after this time. The group changes only with a
/// new start of the backend server, which is asked at once.
constexpr milliseconds GroupQueryPeriod{1000};
constexpr milliseconds KnownGroupPeriod{60000};
constexpr std::size_t MaxGroupQueries = 32;
/// Entries from which on the reports of their loads miss a good part of the running requests.
constexpr std::uint32_t MinLargeFleet = 10;
/// Callers honour Retry-After up to this fraction (1/3) of their remaining time.
constexpr int RetryAfterDivisor = 3;

milliseconds toMilliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

void RelayNode::placeWaiting(Instant now, Commands &commands)
{
    std::map<std::string, std::vector<Exchange *>> queues;
    for (auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting())
            queues[exchange.service].push_back(&exchange);
    }
    for (auto &[service, queue] : queues) {
        const auto isServedBefore = this->settings.policy.isServedBefore;
        std::sort(queue.begin(), queue.end(), [&](const Exchange *left, const Exchange *right) {
            return isServedBefore(*left, *right, now);
        });
        std::uint32_t ahead = 0;
        for (Exchange *exchange : queue) {
            if (exchange->notBefore <= now && this->tryPlace(now, *exchange, commands))
                continue;
            const std::string reason = this->reasonToRefuse(now, *exchange, ahead);
            if (reason.empty())
                ++ahead;
            else
                this->abandon(now, *exchange, reason, commands);
        }
    }
}

bool RelayNode::tryPlace(Instant now, Exchange &exchange, Commands &commands)
{
    if (this->isBlocked(now, exchange)
        || this->quarantine.awaitsCheck(now, RequestQuarantine::contentTraitOf(exchange.request)))
        return false;
    this->peers.noteTime(now);
    const std::uint32_t entries = this->peers.entryCount(now);
    // A stream that its caller already reads goes on at once.
    SlotBudget *budget =
            exchange.isStreamOpen ? nullptr : this->slotBudgetOf(now, exchange, entries);
    if (budget != nullptr && !budget->tryTake(exchange.urgency(now)))
        return false;
    const std::optional<std::string> chosen = this->chooseBackend(now, exchange);
    if (!chosen
        || (exchange.sends > 0
            && !this->retryBudgetOf(exchange.service).tryAcquire(now, entries))) {
        if (budget != nullptr)
            budget->putBack(exchange.urgency(now));
        return false;
    }
    this->startAttempt(now, exchange, *chosen, commands);
    return true;
}

std::optional<std::string> RelayNode::chooseBackend(Instant now, const Exchange &exchange)
{
    const ServiceDeclaration *service = this->routes->configuration().findService(exchange.service);
    this->peers.noteTime(now);
    const std::uint32_t entries = this->peers.entryCount(now);
    // A request that was turned away does not probe a group while another one takes requests.
    const bool mayProbe = exchange.sends == 0 || this->outageSince(exchange.service, now);
    const bool isLarge = this->isLargeFleet(now);
    std::vector<PlacementCandidate> candidates;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != exchange.service || !this->backends.isEligible(row, now)
            || row.health.isSuspended(now) || exchange.failedOn.count(id) != 0)
            continue;
        const ServingUnit &unit = this->units[row.unit];
        if (!unit.circuit.allowsRequest(now) || (unit.circuit.isOpen() && !mayProbe))
            continue;
        // A second attempt avoids the first one's backend server and groups in trouble.
        if (exchange.attempt
            && (exchange.attempt->backend == id || unit.circuit.isOpen() || unit.isStalled(now)))
            continue;
        BackendUse &use = this->useOf(row);
        const bool isCold = now < row.coldUntil;
        const double coldRate = this->coldRateOf(service, isCold, now);
        if (coldRate > 0 && !this->hasColdCapacity(now, id, use, isCold, coldRate, entries))
            continue;
        if (!this->hasLimitCapacity(now, id, use, entries)
            || use.running >= slotsAfterPause(now, use, row.record.slots))
            continue;
        const double limit =
                isLarge ? std::max(1.0, unit.concurrency.share(ConcurrencyLimit::Basis::Longest)
                                                * row.record.slots)
                        : unit.concurrency.limit(row.record.slots);
        candidates.push_back({id, limit, use.running + this->peers.runningElsewhere(id, now),
                              row.health.failureShare(now), isCold, use.sends, row.reportedLoad,
                              unit.isStalled(now), unit.concurrency.pace(), row.paceAt(now) > 1,
                              use.running});
    }
    return this->settings.policy.place(candidates, this->replacedShare(exchange.service, now),
                                       this->random);
}

void RelayNode::startAttempt(Instant now, Exchange &exchange, const std::string &backend,
                             Commands &commands)
{
    const ServiceDeclaration *service = this->routes->configuration().findService(exchange.service);
    const std::uint32_t entries = this->peers.entryCount(now);
    const BackendRoster::Row &row = *this->backends.find(backend);
    this->units[row.unit].requestSent(now);
    BackendUse &use = this->backendUses[backend];
    // The cold rate always applies, because a backend server can become cold without notice.
    if (const double coldRate = this->coldRateOf(service, now < row.coldUntil, now); coldRate > 0)
        use.cold.tryAcquire(now, coldRate, entries);
    use.limit.recordSent(now);
    ++use.running;
    ++use.sends;
    const AttemptId attempt = this->nextAttempt++;
    const bool isSecond = exchange.attempt.has_value();
    Attempt &started = (isSecond ? exchange.otherAttempt : exchange.attempt).emplace();
    started.isSecond = isSecond;
    started.id = attempt;
    started.backend = backend;
    started.unit = row.unit;
    started.incarnation = row.record.incarnation;
    started.sentAt = now;
    started.connectedAt = now;
    if (!isSecond)
        exchange.times.waiting += now - exchange.waitingSince;
    started.lastActivityAt = now;
    started.isTest = this->quarantine.recordSent(now, exchange.traits);
    exchange.lastBackend = backend;
    ++exchange.runs;
    ++exchange.sends;
    this->attempts.emplace(attempt, exchange.caller);

    RelayCommand::StartAttempt start;
    start.caller = exchange.caller;
    start.attempt = attempt;
    start.backend = backend;
    start.address = row.record.address;
    start.account = exchange.account;
    start.timeLeft = toMilliseconds(exchange.deadline - now);
    if (this->routes->hasPriorities(exchange.service))
        start.priority = exchange.priority;
    start.lastEvent = exchange.lastEvent;
    if (service != nullptr && service->maxConnections > 0)
        start.maxConnections =
                std::max(1U, static_cast<std::uint32_t>(ConnectionShare * service->maxConnections
                                                        / entries));
    std::ostringstream text;
    text << "request=" << exchange.request.id << " route=" << exchange.route.name
         << " service=" << exchange.service << " backend=" << backend << " send=" << exchange.sends
         << " waited_ms=" << toMilliseconds(now - exchange.arrivedAt).count()
         << " left_ms=" << start.timeLeft.count() << " running_here=" << use.running
         << " running_elsewhere=" << this->peers.runningElsewhere(backend, now)
         << " cold=" << (now < row.coldUntil) << " config=" << this->configurationVersion();
    commands.push_back(start);
    commands.push_back(RelayCommand::Log{
            LogRecord{RelayLog::AttemptStarted, LogRecord::Level::Info, text.str()}});
}

std::string RelayNode::reasonToRefuse(Instant now, const Exchange &exchange, std::uint32_t ahead)
{
    if (this->isBlocked(now, exchange))
        return "quarantined";
    AdmissionInput input;
    input.now = now;
    input.arrivedAt = exchange.arrivedAt;
    input.deadline = exchange.deadline;
    input.isStream = exchange.route.kind == Route::Kind::Stream;
    input.latencyTarget = exchange.route.latencyTarget;
    input.slots = this->usableSlots(exchange.service, now);
    const std::optional<Instant> resumeAt =
            input.slots == 0 ? this->endOfPauses(now, exchange.service) : std::nullopt;
    if (resumeAt)
        input.slots = 1;
    input.expectedDelay = this->waitEstimatorOf(exchange).meanDelay();
    input.expectedWait = this->waitEstimatorOf(exchange).expectedWait(
            ahead, input.slots, this->shareOfFreedSlots(exchange.service, now));
    if (resumeAt)
        input.expectedWait = std::max(input.expectedWait, toMilliseconds(*resumeAt - now));
    input.outageSince = this->outageSince(exchange.service, now);
    return this->settings.policy.reasonToRefuse(input);
}

std::chrono::milliseconds RelayNode::retryAfterFor(Instant now, const Exchange &exchange,
                                                   milliseconds wait)
{
    if (this->outageSince(exchange.service, now))
        wait = std::max(wait, MinOutageRetryAfter);
    if (this->isBlocked(now, exchange))
        wait = std::max(wait, QuarantineRetryAfter);
    if (const auto resumeAt = this->endOfPauses(now, exchange.service))
        wait = std::max(wait, toMilliseconds(*resumeAt - now));
    // Jitter of up to the same length keeps refused callers from returning together. The sum stays
    // within the time for which callers honour Retry-After.
    const milliseconds maxPause = toMilliseconds(exchange.deadline - now) / RetryAfterDivisor;
    const milliseconds minPause = std::min(wait, maxPause / 2);
    const milliseconds span = std::min(wait, maxPause - minPause);
    const milliseconds spread(
            static_cast<std::int64_t>(this->random.unit() * static_cast<double>(span.count())));
    return std::max(RelayLimits::MinRetryAfter, minPause + spread);
}

bool RelayNode::hasColdCapacity(Instant now, const std::string &backend, BackendUse &use,
                                bool isCold, double rate, std::uint32_t entries) const
{
    if (!use.cold.hasCapacity(now, rate, entries))
        return false;
    const double total = isCold ? rate : rate * WarmRateFactor;
    if (total >= entries)
        return true;
    // Each entry may send one request a second at least, so only as many entries may send.
    if (now >= use.chosenUntil) {
        use.chosenUntil = now + ChoicePeriod;
        use.isChosen =
                this->peers.isAmongChosen(backend, this->settings.peerAddress,
                                          std::max(1U, static_cast<std::uint32_t>(total)), now);
    }
    return use.isChosen;
}

double RelayNode::coldRateOf(const ServiceDeclaration *service, bool isCold, Instant now) const
{
    if (service == nullptr)
        return 0;
    const bool isStartingUp = this->settings.reducesColdRateAfterStart && this->startedAt
                              && now < *this->startedAt + StartupPeriod;
    // Reduced only for backend servers that are known to be cold: after a restart of all entries,
    // callers return together and need the full capacity of the warm ones.
    return service->coldRequestsPerSecond * (isCold && isStartingUp ? StartupColdRateShare : 1);
}

std::uint32_t RelayNode::usableSlots(const std::string &service, Instant now) const
{
    const auto estimator = this->waitEstimators.find(service);
    // Slots of the units that take requests, and of those whose circuit is open.
    std::uint32_t slots = 0;
    std::uint32_t closedOff = 0;
    const ConcurrencyLimit::Basis basis = this->limitBasis(now);
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != service || !this->backends.isEligible(row, now)
            || row.health.isSuspended(now))
            continue;
        const ServingUnit *unit = this->findUnit(row.unit);
        std::uint32_t usable = unit == nullptr ? row.record.slots
                                               : unit->concurrency.limit(row.record.slots, basis);
        const auto use = this->backendUses.find(id);
        if (use != this->backendUses.end() && use->second.incarnation == row.record.incarnation)
            usable = std::min(usable, slotsAfterPause(now, use->second, row.record.slots));
        if (use != this->backendUses.end() && estimator != this->waitEstimators.end()
            && use->second.limit.requestsPerSecond()) {
            // A limited backend server runs as many requests as arrive while one holds its slot.
            const double running =
                    *use->second.limit.requestsPerSecond()
                    * std::chrono::duration<double>(estimator->second.meanHoldTime()).count();
            usable = std::min(usable, static_cast<std::uint32_t>(std::max(1.0, running)));
        }
        (unit != nullptr && unit->circuit.isOpen() ? closedOff : slots) += usable;
    }
    return slots > 0 ? slots : closedOff;
}

std::optional<Instant> RelayNode::outageSince(const std::string &service, Instant now) const
{
    std::optional<Instant> since;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != service || !this->backends.isEligible(row, now)
            || row.health.isSuspended(now))
            continue;
        const ServingUnit *unit = this->findUnit(row.unit);
        if (unit == nullptr || !unit->circuit.isOpen())
            return std::nullopt;
        since = std::max(since.value_or(Instant()), *unit->circuit.openSince());
    }
    return since;
}

const ServingUnit *RelayNode::findUnit(const std::string &name) const
{
    const auto found = this->units.find(name);
    return found == this->units.end() ? nullptr : &found->second;
}

std::vector<std::string> RelayNode::dueGroupQueries(Instant now)
{
    std::vector<std::string> addresses;
    if (this->routes == nullptr)
        return addresses;
    for (auto &[id, row] : this->backends.rows()) {
        if (addresses.size() == MaxGroupQueries)
            break;
        if (now < row.nextGroupQueryAt || !this->backends.isEligible(row, now))
            continue;
        const ServiceDeclaration *service =
                this->routes->configuration().findService(row.record.service);
        if (service == nullptr || service->experts.count == 0)
            continue;
        row.nextGroupQueryAt = now + GroupQueryPeriod;
        addresses.push_back(row.record.address);
    }
    return addresses;
}

void RelayNode::groupArrived(Instant now, const GroupMembership &membership)
{
    this->backends.recordGroup(membership.address, membership.group, now + KnownGroupPeriod);
}

bool RelayNode::isLargeFleet(Instant now) const
{
    return this->settings.policy.sharesSlots && this->peers.entryCount(now) >= MinLargeFleet;
}

ConcurrencyLimit::Basis RelayNode::limitBasis(Instant now) const
{
    return this->isLargeFleet(now) ? ConcurrencyLimit::Basis::Longest
                                   : ConcurrencyLimit::Basis::Mean;
}

double RelayNode::replacedShare(const std::string &service, Instant now) const
{
    const auto estimator = this->waitEstimators.find(service);
    if (estimator == this->waitEstimators.end() || !this->isLargeFleet(now))
        return 0;
    const std::chrono::duration<double> age = this->peers.loadAge(now);
    const std::chrono::duration<double> hold = estimator->second.meanHoldTime();
    return age / std::max(age + hold, std::chrono::duration<double>(1e-3));
}

double RelayNode::shareOfFreedSlots(const std::string &service, Instant now) const
{
    const std::uint32_t here = this->waitingCount(service) + 1;
    return static_cast<double>(here) / (here + this->peers.waitingElsewhere(service, now));
}

std::uint32_t RelayNode::waitingCount(const std::string &service) const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->exchanges.begin(), this->exchanges.end(), [&](const auto &entry) {
                return entry.second.service == service && entry.second.isWaiting();
            }));
}

std::uint32_t RelayNode::waitingBefore(const Exchange &exchange, Instant now) const
{
    const auto isServedBefore = this->settings.policy.isServedBefore;
    return static_cast<std::uint32_t>(
            std::count_if(this->exchanges.begin(), this->exchanges.end(), [&](const auto &entry) {
                const Exchange &other = entry.second;
                return other.isWaiting() && other.service == exchange.service
                       && isServedBefore(other, exchange, now);
            }));
}

ServiceWaitEstimator &RelayNode::waitEstimatorOf(const Exchange &exchange)
{
    const bool isStream = exchange.route.kind == Route::Kind::Stream;
    return this->waitEstimators
            .try_emplace(exchange.service, isStream ? DefaultStreamHoldTime : DefaultCallHoldTime,
                         isStream ? DefaultFirstEventDelay : DefaultCallHoldTime)
            .first->second;
}

ServiceRetryBudget &RelayNode::retryBudgetOf(const std::string &service)
{
    return this->retryBudgets
            .try_emplace(service, this->settings.retryLimit, this->settings.retryWindow)
            .first->second;
}

} // namespace Nutmegrill
