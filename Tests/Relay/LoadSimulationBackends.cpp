// The backend servers of LoadSimulation: a model group and plain ones.

#include "LoadSimulationParts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t MaxRankQueue = 4;
constexpr std::size_t MaxPlainQueue = 6;
constexpr std::uint32_t EventsPerStream = 28;
constexpr milliseconds MeanPlainServiceTime{60};
/// Time of a step of the group: a fixed part and a part per stream of the rank with the most
/// streams, because all ranks wait for the slowest one.
constexpr microseconds StepBaseTime{32000};
constexpr microseconds StepTimePerStream{3000};
/// A group that loses a rank stalls for this long before it aborts its requests.
constexpr milliseconds StallTime{1500};
/// A rank that crashed is back after this time, and its group then forms again.
constexpr milliseconds RankRestartTime{2500};
constexpr milliseconds GroupFormTime{600};
/// A plain server crashes within this time after it begins to run a crashing request.
constexpr milliseconds MaxPlainCrashTime{80};
constexpr milliseconds PlainRestartTime{3200};
/// The platform's tolerance for a named limit: factor, requests, and time to settle.
constexpr seconds LimitWindow{4};
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
constexpr milliseconds LimitSettleTime{3000};
constexpr milliseconds LimitNoticeTime{500};
/// The platform's tolerance for requests during a pause.
constexpr milliseconds PauseNoticeTime{500};
constexpr std::uint32_t MaxRequestsInPause = 2;
/// Requests that were on their way when the server said that it leaves.
constexpr milliseconds LeavingNoticeTime{20};

} // namespace

LoadSimulation::Backend *LoadSimulation::backendOf(const std::string &id)
{
    for (Backend &backend : this->backends) {
        if (backend.id == id)
            return &backend;
    }
    return nullptr;
}

void LoadSimulation::startWork(std::size_t entry, const RelayCommand::StartAttempt &start)
{
    Work work;
    work.entry = entry;
    work.start = this->entries[entry].start;
    work.attempt = start.attempt;
    work.backend = start.backend;
    work.nextEvent = start.lastEvent.value_or(0) + 1;
    const auto number = this->byCallerId.find({entry, start.caller});
    if (number != this->byCallerId.end()) {
        Caller &caller = this->callers[number->second];
        this->result.repeats += caller.attempts == 1 && caller.attempt != 0 ? 0 : 1;
        work.crashesServer = caller.crashesServers;
        if (work.crashesServer)
            this->result.crashingSends.push_back(this->now);
    }
    this->schedule(NetworkDelay, [this, work] { this->accept(work); });
}

void LoadSimulation::accept(const Work &work)
{
    Backend *const found = this->backendOf(work.backend);
    if (found == nullptr || found->isCrashed) {
        this->breakWork(work, AttemptFailure::Refused);
        return;
    }
    Backend &backend = *found;
    if (work.crashesServer)
        this->result.crashingArrivals.push_back(this->now);
    this->checkLimit(backend, work);
    this->checkLeaving(backend, work);
    this->checkPause(backend, work);
    if (backend.namesLimit && this->factorOf(Fault::ServersPause) > 0) {
        this->rejectWork(work, NetworkDelay);
        return;
    }
    if (backend.isUnreachable) {
        this->breakWork(work, AttemptFailure::NotSent);
        return;
    }
    if (backend.isRank && this->isGroupRejecting) {
        this->rejectWork(work, NetworkDelay);
        return;
    }
    const std::size_t maxQueue = backend.isRank ? MaxRankQueue : MaxPlainQueue;
    if (backend.running.size() >= backend.slots && backend.queue.size() >= maxQueue) {
        this->rejectWork(work, NetworkDelay);
        return;
    }
    backend.queue.push_back(work);
    if (!backend.isRank)
        this->serve(backend);
}

void LoadSimulation::rejectWork(const Work &work, Time delay)
{
    this->schedule(delay, [this, work] {
        Entry *entry = this->findRunning(work.entry, work.start);
        if (entry == nullptr)
            return;
        RelayNode::Commands commands;
        Backend *backend = this->backendOf(work.backend);
        AnswerHead head = backend == nullptr ? AnswerHead() : this->headOf(*backend, work, 503);
        head.status = 503;
        head.notRun = true;
        entry->node->headArrived(this->now, work.attempt, head, commands);
        entry->node->answerEnded(this->now, work.attempt, commands);
        this->execute(work.entry, commands);
    });
}

void LoadSimulation::breakWork(const Work &work, AttemptFailure failure)
{
    this->schedule(NetworkDelay, [this, work, failure] {
        if (Entry *entry = this->findRunning(work.entry, work.start)) {
            RelayNode::Commands commands;
            entry->node->attemptFailed(this->now, work.attempt, failure, commands);
            this->execute(work.entry, commands);
        }
    });
}

void LoadSimulation::cancel(std::size_t entry, RelayCommand::AttemptId attempt)
{
    const auto matches = [&](const Work &work) {
        return work.entry == entry && work.attempt == attempt
               && work.start == this->entries[entry].start;
    };
    for (Backend &backend : this->backends) {
        std::erase_if(backend.queue, matches);
        std::erase_if(backend.running, matches);
    }
}

void LoadSimulation::serve(Backend &backend)
{
    while (!backend.queue.empty() && backend.running.size() < backend.slots) {
        const Work work = backend.queue.front();
        backend.queue.pop_front();
        backend.running.push_back(work);
        if (work.crashesServer) {
            this->schedule(
                    microseconds(this->partRandom.below(microseconds(MaxPlainCrashTime).count())),
                    [this, work] { this->crashPlain(work); });
            continue;
        }
        const auto span = microseconds(static_cast<std::int64_t>(
                -std::log(1 - this->random.unit()) * 1000.0 * MeanPlainServiceTime.count()));
        const std::string id = backend.id;
        this->schedule(span, [this, work, id] {
            Backend *const backend = this->backendOf(id);
            if (backend == nullptr)
                return;
            Backend &row = *backend;
            const auto found = std::find_if(row.running.begin(), row.running.end(),
                                            [&](const Work &other) { return other.isSame(work); });
            if (found == row.running.end())
                return;
            row.running.erase(found);
            const bool fails = row.isFlaky && this->random.unit() < 0.5;
            if (fails) {
                this->breakWork(work, AttemptFailure::Broken);
            } else if (Entry *entry = this->findRunning(work.entry, work.start)) {
                RelayNode::Commands commands;
                const AnswerHead head = this->headOf(row, work, 200);
                entry->node->headArrived(this->now, work.attempt, head, commands);
                entry->node->answerEnded(this->now, work.attempt, commands);
                this->execute(work.entry, commands);
            }
            this->serve(row);
        });
    }
}

void LoadSimulation::stepGroup()
{
    std::size_t most = 0;
    if (!this->isGroupStalled) {
        // Copied, because a command that an event causes may cancel work in these lists.
        std::vector<Work> stepped;
        for (Backend &backend : this->backends) {
            if (!backend.isRank)
                continue;
            if (std::any_of(backend.running.begin(), backend.running.end(),
                            [](const Work &work) { return work.crashesServer; })) {
                this->crashServer(backend);
                continue;
            }
            for (Work &work : backend.running) {
                stepped.push_back(work);
                work.hasHead = true;
                ++work.nextEvent;
            }
            std::erase_if(backend.running,
                          [](const Work &work) { return work.nextEvent > EventsPerStream; });
            while (!backend.queue.empty() && backend.running.size() < backend.slots) {
                backend.running.push_back(backend.queue.front());
                backend.queue.pop_front();
            }
            most = std::max(most, backend.running.size());
        }
        for (const Work &work : stepped) {
            Entry *entry = this->findRunning(work.entry, work.start);
            if (entry == nullptr)
                continue;
            Backend &backend = *this->backendOf(work.backend);
            RelayNode::Commands commands;
            if (!work.hasHead) {
                AnswerHead head = this->headOf(backend, work, 200);
                head.isStream = true;
                entry->node->headArrived(this->now, work.attempt, head, commands);
            }
            entry->node->eventArrived(this->now, work.attempt,
                                      {work.nextEvent, std::to_string(work.nextEvent)}, commands);
            if (work.nextEvent >= EventsPerStream)
                entry->node->answerEnded(this->now, work.attempt, commands);
            this->execute(work.entry, commands);
        }
    }
    const double slow = this->factorOf(Fault::SlowSteps);
    const microseconds stepTime =
            StepBaseTime + StepTimePerStream * static_cast<std::int64_t>(most);
    this->schedule(
            microseconds(static_cast<std::int64_t>(slow * static_cast<double>(stepTime.count()))),
            [this] { this->stepGroup(); });
}

void LoadSimulation::abortGroup()
{
    this->isGroupRejecting = true;
    for (Backend &backend : this->backends) {
        if (!backend.isRank)
            continue;
        for (const Work &work : backend.running)
            this->breakWork(work, AttemptFailure::Broken);
        for (const Work &work : backend.queue)
            this->rejectWork(work, NetworkDelay);
        backend.running.clear();
        backend.queue.clear();
    }
}

void LoadSimulation::crashPlain(const Work &work)
{
    Backend *const backend = this->backendOf(work.backend);
    if (backend != nullptr
        && std::any_of(backend->running.begin(), backend->running.end(),
                       [&](const Work &other) { return other.isSame(work); }))
        this->crashServer(*backend);
}

AnswerHead LoadSimulation::headOf(Backend &backend, const Work &work, int status)
{
    AnswerHead head;
    head.status = status;
    head.load = AnswerHead::Load{static_cast<std::uint32_t>(backend.running.size()),
                                 static_cast<std::uint32_t>(backend.queue.size()), backend.slots};
    if (const double pause = this->factorOf(Fault::ServersPause);
        backend.namesLimit && pause > 0 && status == 503) {
        head.pause = milliseconds(static_cast<std::int64_t>(1000 * pause));
        const Instant end = this->now + *head.pause;
        auto &row = backend.pauses[{work.entry, work.start}];
        if (row.end <= this->now)
            row = {this->now, end, 0};
        row.end = std::max(row.end, end);
    }
    if (backend.namesLimit && this->factorOf(Fault::ServersLeaving) > 0) {
        head.isLeaving = true;
        backend.leavingToldAt.try_emplace({work.entry, work.start}, this->now);
    }
    const double limit = this->factorOf(Fault::LimitNamed);
    if (!backend.namesLimit || limit <= 0)
        return head;
    head.requestsPerSecond = limit;
    backend.firstNamedAt = std::min(backend.firstNamedAt, this->now);
    backend.toldAt.try_emplace(work.entry, this->now);
    return head;
}

void LoadSimulation::checkLeaving(Backend &backend, const Work &work)
{
    const auto told = backend.leavingToldAt.find({work.entry, work.start});
    if (told != backend.leavingToldAt.end() && this->now > told->second + LeavingNoticeTime
        && this->result.sentToLeaving.empty())
        this->result.sentToLeaving =
                backend.id + " got a request "
                + std::to_string(
                        std::chrono::duration_cast<milliseconds>(this->now - told->second).count())
                + " ms after it told entry " + std::to_string(work.entry) + " that it leaves";
}

void LoadSimulation::checkPause(Backend &backend, const Work &work)
{
    const auto found = backend.pauses.find({work.entry, work.start});
    if (found == backend.pauses.end() || this->now <= found->second.since + PauseNoticeTime
        || this->now >= found->second.end)
        return;
    if (++found->second.requests > MaxRequestsInPause && this->result.brokenPause.empty())
        this->result.brokenPause = backend.id + " got more than two requests of entry "
                                   + std::to_string(work.entry) + " during a pause";
}

void LoadSimulation::checkLimit(Backend &backend, const Work &work)
{
    const auto told = backend.toldAt.find(work.entry);
    const double limit = this->factorOf(Fault::LimitNamed);
    if (told == backend.toldAt.end() || this->now < told->second + LimitNoticeTime || limit <= 0)
        return;
    std::deque<Instant> &arrivals = backend.toldArrivals;
    arrivals.push_back(this->now);
    while (arrivals.front() + LimitWindow <= this->now)
        arrivals.pop_front();
    const double allowed =
            LimitFactor * limit * std::chrono::duration<double>(LimitWindow).count() + LimitSlack;
    if (arrivals.front() < backend.firstNamedAt + LimitSettleTime
        || static_cast<double>(arrivals.size()) <= allowed || !this->result.brokenLimit.empty())
        return;
    this->result.brokenLimit = backend.id + " got " + std::to_string(arrivals.size())
                               + " in 4 s, allowed " + std::to_string(allowed);
}

void LoadSimulation::check(std::size_t entry, const RelayCommand::CheckBackend &check)
{
    const std::uint32_t start = this->entries[entry].start;
    this->schedule(2 * NetworkDelay, [this, entry, start, check] {
        Entry *row = this->findRunning(entry, start);
        if (row == nullptr)
            return;
        const Backend *backend =
                this->backendOf(check.incarnation.substr(0, check.incarnation.rfind('/')));
        RelayNode::Commands commands;
        row->node->backendChecked(this->now, check.incarnation,
                                  backend == nullptr || backend->isCrashed
                                          ? BackendCheck::Refused
                                          : BackendCheck::Listening,
                                  commands);
        this->execute(entry, commands);
    });
}

void LoadSimulation::storeCrashes(const RelayCommand::StoreCrashes &crashes)
{
    if (this->factorOf(Fault::StoreAway) > 0)
        return;
    const auto found = this->storedCrashes.find(crashes.report.fingerprint);
    if ((found == this->storedCrashes.end() ? 0 : found->second.second) != crashes.revision)
        return;
    const std::uint64_t revision = ++this->crashRevision;
    this->storedCrashes[crashes.report.fingerprint] = {crashes.report, revision};
    for (Entry &entry : this->entries) {
        if (entry.node != nullptr)
            entry.node->requestQuarantine().recordStored(this->now, crashes.report, revision);
    }
}

void LoadSimulation::crashServer(Backend &backend)
{
    this->result.crashes.push_back(this->now);
    for (const auto *list : {&backend.running, &backend.queue}) {
        for (const Work &work : *list)
            this->breakWork(work, AttemptFailure::Broken);
    }
    backend.running.clear();
    backend.queue.clear();
    backend.isCrashed = true;
    this->schedule(backend.isRank ? RankRestartTime : PlainRestartTime,
                   [this, &backend] { this->returnServer(backend); });
    if (!backend.isRank)
        return;
    if (!this->isGroupStalled)
        this->schedule(StallTime, [this] { this->abortGroup(); });
    this->isGroupStalled = true;
}

void LoadSimulation::returnServer(Backend &backend)
{
    const std::string before = backend.id;
    backend.isCrashed = false;
    ++backend.incarnation;
    backend.id = before.substr(0, before.find('.')) + "." + std::to_string(backend.incarnation);
    for (Entry &entry : this->entries) {
        if (entry.node == nullptr)
            continue;
        entry.node->roster().remove(this->now, before);
        entry.node->roster().update(this->now, backend.record());
    }
    if (!backend.isRank)
        return;
    this->schedule(GroupFormTime, [this] {
        const bool isWhole =
                std::none_of(this->backends.begin(), this->backends.end(),
                             [](const Backend &row) { return row.isRank && row.isCrashed; });
        if (isWhole)
            this->isGroupStalled = this->isGroupRejecting = false;
    });
}

} // namespace Nutmegrill
