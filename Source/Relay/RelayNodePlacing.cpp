// Waiting, placing and refusing: the part of RelayNode that decides who gets which place when.

#include "Relay/RelayLimits.h"
#include "Relay/RelayLog.h"
#include "Relay/RelayNode.h"
#include "Relay/WaitFacts.h"

#include <algorithm>
#include <sstream>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Holding times assumed before any was measured.
constexpr milliseconds UsualStreamHold{1200};
constexpr milliseconds UsualCallHold{80};
/// Time to the first event assumed before any was measured: two steps of a group.
constexpr milliseconds UsualFirstEvent{150};
/// Pause that is stated to callers while a service turns requests away: a group that has lost a
/// rank is back after one to four seconds.
constexpr milliseconds OutageRetryAfter{1200};
/// Entries use this part of the connections that a backend server accepts; the rest covers
/// connections that are being closed.
constexpr double ConnectionShare = 0.8;
/// Part of the cold rate that an entry uses at cold backend servers in its first second: the window
/// of that rate still holds what its former start has sent. Platforms allow half as much again,
/// which covers three restarts of everything within a second.
constexpr double FreshShare = 0.25;
constexpr milliseconds FreshTime{1000};
/// Callers honour a stated pause up to a third of their remaining time.
constexpr int RetryAfterShare = 3;

milliseconds toMilliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

void RelayNode::placeWaiting(Instant now, Orders &orders)
{
    std::map<std::string, std::vector<Exchange *>> lines;
    for (auto &[caller, exchange] : this->exchanges) {
        if (exchange.isWaiting())
            lines[exchange.service].push_back(&exchange);
    }
    for (auto &[service, line] : lines) {
        const auto isServedBefore = this->settings.policy.isServedBefore;
        std::sort(line.begin(), line.end(), [&](const Exchange *left, const Exchange *right) {
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
    const PaceLimit &pace = this->paces[exchange.service];
    std::vector<PlacementCandidate> candidates;
    for (const auto &[id, row] : this->backends.rows()) {
        if (row.record.service != exchange.service || !this->backends.mayWork(row, now)
            || row.health.isSuspended(now) || exchange.failedOn.count(id) != 0)
            continue;
        BackendUse &use = this->uses[id];
        const bool isCold = now < row.coldUntil;
        const double coldRate = this->coldRateOf(service, isCold, now);
        if (coldRate > 0 && !use.cold.hasRoom(now, coldRate, entries))
            continue;
        candidates.push_back({id, pace.limit(row.record.slots),
                              use.running + this->peers.runningElsewhere(id, now),
                              row.health.failureShare(now), isCold, use.sends, row.statedLoad});
    }
    const std::optional<std::string> chosen = this->settings.policy.place(candidates, this->random);
    if (!chosen || (exchange.sends > 0 && !this->retriesOf(exchange.service).take(now, entries)))
        return false;
    circuit.noteSent(now);

    const BackendRoster::Row &row = *this->backends.find(*chosen);
    BackendUse &use = this->uses[*chosen];
    // A backend server can turn cold without notice, so the cold rate holds at all times.
    if (const double coldRate = this->coldRateOf(service, now < row.coldUntil, now); coldRate > 0)
        use.cold.take(now, coldRate, entries);
    ++use.running;
    ++use.sends;
    const AttemptId attempt = this->nextAttempt++;
    Attempt &started = exchange.attempt.emplace();
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
    orders.push_back(RelayOrder::Log{
            LogRecord{RelayLog::AttemptStarted, LogRecord::Level::Info, text.str()}});
    return true;
}

std::string RelayNode::reasonToRefuse(Instant now, const Exchange &exchange, std::uint32_t ahead)
{
    WaitFacts facts;
    facts.now = now;
    facts.arrivedAt = exchange.arrivedAt;
    facts.deadline = exchange.deadline;
    facts.isStream = exchange.route.kind == Route::Kind::Stream;
    facts.latencyTarget = exchange.route.latencyTarget;
    facts.places = this->usablePlaces(exchange.service, now);
    facts.expectedDelay = this->loadOf(exchange).meanDelay();
    facts.expectedWait = this->loadOf(exchange).expectedWait(
            ahead, facts.places, this->shareOfPlaces(exchange.service, now));
    facts.outageSince = this->circuits[exchange.service].openSince();
    return this->settings.policy.reasonToRefuse(facts);
}

std::chrono::milliseconds RelayNode::comeBackAfter(Instant now, const Exchange &exchange,
                                                   milliseconds wait)
{
    if (this->circuits[exchange.service].isOpen())
        wait = std::max(wait, OutageRetryAfter);
    // Spread over as much time again, so that refused callers do not return together, and within
    // the time for which they honour a pause.
    const milliseconds longest = toMilliseconds(exchange.deadline - now) / RetryAfterShare;
    const milliseconds earliest = std::min(wait, longest / 2);
    const milliseconds span = std::min(wait, longest - earliest);
    const milliseconds spread(
            static_cast<std::int64_t>(this->random.unit() * static_cast<double>(span.count())));
    return std::max(RelayLimits::LeastRetryAfter, earliest + spread);
}

double RelayNode::coldRateOf(const ServiceDeclaration *service, bool isCold, Instant now) const
{
    if (service == nullptr)
        return 0;
    const bool isFresh = this->settings.sparesColdAfterStart && this->startedAt
                         && now < *this->startedAt + FreshTime;
    // Only for those that are known to be cold: after a restart of everything, callers come back
    // together and need all that the warm ones can take.
    return service->coldRequestsPerSecond * (isCold && isFresh ? FreshShare : 1);
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
    const bool isStream = exchange.route.kind == Route::Kind::Stream;
    return this->loads
            .try_emplace(exchange.service, isStream ? UsualStreamHold : UsualCallHold,
                         isStream ? UsualFirstEvent : UsualCallHold)
            .first->second;
}

RetryShare &RelayNode::retriesOf(const std::string &service)
{
    return this->retries.try_emplace(service, this->settings.retryLimit, this->settings.retryWindow)
            .first->second;
}

} // namespace Nutmegrill
