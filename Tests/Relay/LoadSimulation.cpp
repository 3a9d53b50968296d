#include "LoadSimulation.h"

#include "Core/Hash.h"
#include "LoadSimulationParts.h"
#include "RouteFixture.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds ReportInterval{100};
constexpr milliseconds TickInterval{20};
/// A group that loses a rank stalls for this long before it aborts its requests.
constexpr milliseconds StallTime{1500};

/// Route with the required limits, and three runs for requests that may be repeated.
Route route(const std::string &name, Route::Kind kind, const std::string &service)
{
    Route made = makeRoute("/" + name + "/", kind, service);
    if (kind != Route::Kind::Stream)
        made.timeout = milliseconds(1500);
    if (made.mayRunAgain())
        made.maxRuns = 3;
    return made;
}

ConfigurationPtr configuration()
{
    auto made = std::make_shared<Configuration>();
    made->version = 1;
    made->routes = {route("brief", Route::Kind::Stream, "model"),
                    route("record", Route::Kind::NonIdempotent, "plain"),
                    route("lookup", Route::Kind::Idempotent, "plain")};
    ServiceDeclaration model;
    model.name = "model";
    ServiceDeclaration plain;
    plain.name = "plain";
    made->services = {model, plain};
    for (std::size_t number = 0; number < Accounts; ++number) {
        ClientAccount account;
        account.name = accountName(number);
        account.keyHash = sha256Hex(accountName(number));
        made->clientAccounts.push_back(account);
    }
    return made;
}

} // namespace

BackendRecord LoadSimulation::Backend::record() const
{
    BackendRecord made;
    made.id = this->id;
    made.service = this->isRank ? "model" : "plain";
    // Restarts keep the address.
    made.address = "10.0.0.1:"
                   + std::to_string(1000 + hash64(this->id.substr(0, this->id.find('.'))) % 60000);
    made.failureDomain = "north";
    made.slots = this->slots;
    made.incarnation = this->incarnation;
    return made;
}

LoadSimulation::LoadSimulation(const Options &options)
    : options(options), random(options.seed), partRandom(options.seed)
{
    for (std::size_t number = 0; number < options.ranks + PlainServers; ++number) {
        Backend backend;
        backend.isRank = number < options.ranks;
        backend.id = (backend.isRank ? "rank-" : "plain-") + std::to_string(number);
        backend.slots = backend.isRank ? RankSlots : PlainSlots;
        backend.namesLimit = number == 0 || (number >= options.ranks && number < options.ranks + 2);
        this->backends.push_back(std::move(backend));
    }
    this->entries.resize(options.entries);
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->startEntry(entry);
    this->result.bySecond.resize(static_cast<std::size_t>(
            std::chrono::duration_cast<seconds>(options.length).count() + 1));
}

LoadSimulation::~LoadSimulation() = default;

void LoadSimulation::schedule(Time delay, Action step)
{
    this->eventQueue.emplace(this->now + delay, std::move(step));
}

double LoadSimulation::factorOf(Fault kind) const
{
    const auto since = this->now - Instant(seconds(100));
    for (const Disruption &row : this->options.disruptions) {
        if (row.kind == kind && since >= row.at && since < row.at + row.span)
            return row.factor;
    }
    const bool isShare =
            kind != Fault::LoadSpike && kind != Fault::HeavyAccount && kind != Fault::SlowSteps;
    return isShare ? 0 : 1;
}

LoadSimulation::Entry *LoadSimulation::findRunning(std::size_t entry, std::uint32_t start)
{
    Entry &row = this->entries[entry];
    return row.node != nullptr && row.start == start ? &row : nullptr;
}

void LoadSimulation::startEntry(std::size_t number)
{
    Entry &entry = this->entries[number];
    RelayNode::Settings settings;
    settings.seed = this->options.seed * 100 + number * 10 + entry.start;
    settings.retryLimit = {0.2, 88};
    settings.policy = this->options.policy;
    settings.peerAddress = "entry-" + std::to_string(number);
    ++entry.start;
    entry.sequence = 0;
    entry.node = std::make_unique<RelayNode>(settings);
    RelayNode::Commands commands;
    entry.node->configure(configuration(), commands);
    for (const Backend &backend : this->backends)
        entry.node->roster().update(this->now, backend.record());
    for (const auto &[trait, row] : this->storedCrashes)
        entry.node->requestQuarantine().recordStored(this->now, row.first, row.second);
    for (std::size_t other = 0; other < this->entries.size(); ++other) {
        if (other != number)
            entry.node->entries().addAddress(this->now, "entry-" + std::to_string(other));
    }
}

void LoadSimulation::stopEntry(std::size_t number)
{
    this->entries[number].node.reset();
    for (Backend &backend : this->backends) {
        const auto isLost = [number](const Work &work) { return work.entry == number; };
        std::erase_if(backend.running, isLost);
        std::erase_if(backend.queue, isLost);
    }
    // Callers detect the stop only by their own timeout.
    std::erase_if(this->byCallerId,
                  [number](const auto &row) { return row.first.first == number; });
}

bool LoadSimulation::isCut(std::size_t entry) const
{
    return static_cast<double>(entry)
           < this->factorOf(Fault::EntriesCut) * static_cast<double>(this->entries.size());
}

void LoadSimulation::sendReports()
{
    for (std::size_t from = 0; from < this->entries.size(); ++from) {
        Entry &entry = this->entries[from];
        if (entry.node == nullptr)
            continue;
        EntryReport report;
        report.name = "entry-" + std::to_string(from);
        report.peerAddress = report.name;
        report.callerAddress = report.name;
        report.incarnation = entry.start;
        report.sequence = ++entry.sequence;
        report.isServing = true;
        report.known = {0, 1};
        entry.node->fillReport(this->now, report);
        this->schedule(NetworkDelay, [this, from, report] {
            RelayNode::Commands commands;
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (to != from && this->entries[to].node != nullptr
                    && this->isCut(from) == this->isCut(to)
                    && this->partRandom.unit() >= this->factorOf(Fault::ReportsLost))
                    this->entries[to].node->reportArrived(this->now, report, commands);
            }
        });
    }
    this->schedule(ReportInterval, [this] { this->sendReports(); });
}

void LoadSimulation::execute(std::size_t entry, RelayNode::Commands &commands)
{
    const auto callerOf = [&](RelayCommand::CallerId id) -> std::optional<std::size_t> {
        const auto found = this->byCallerId.find({entry, id});
        return found == this->byCallerId.end() ? std::nullopt : std::optional(found->second);
    };
    for (const RelayCommand::Any &command : commands) {
        if (const auto *start = std::get_if<RelayCommand::StartAttempt>(&command)) {
            this->startWork(entry, *start);
        } else if (const auto *cancelled = std::get_if<RelayCommand::CancelAttempt>(&command)) {
            this->cancel(entry, cancelled->attempt);
        } else if (const auto *check = std::get_if<RelayCommand::CheckBackend>(&command)) {
            this->check(entry, *check);
        } else if (const auto *crashes = std::get_if<RelayCommand::StoreCrashes>(&command)) {
            this->storeCrashes(*crashes);
        } else if (const auto *refusal = std::get_if<RelayCommand::Refuse>(&command)) {
            if (const auto number = callerOf(refusal->caller)) {
                Caller &caller = this->callers[*number];
                this->byCallerId.erase({entry, refusal->caller});
                this->result.longestHold = std::max(
                        this->result.longestHold,
                        std::chrono::duration_cast<milliseconds>(this->now - caller.attemptAt));
                this->retryOrClose(*number, refusal->retryAfter, refusal->status != 503);
            }
        } else if (const auto *answer = std::get_if<RelayCommand::RelayAnswer>(&command)) {
            if (const auto number = callerOf(answer->caller)) {
                Caller &caller = this->callers[*number];
                this->byCallerId.erase({entry, answer->caller});
                const bool inTime = this->now <= caller.firstAt + LoadKinds[caller.kind].target;
                this->close(caller, inTime ? &Tally::inTime : &Tally::late);
            }
        } else if (const auto *event = std::get_if<RelayCommand::SendEvent>(&command)) {
            if (const auto number = callerOf(event->caller)) {
                Caller &caller = this->callers[*number];
                if (!caller.lastEvent)
                    caller.isLate = this->now > caller.firstAt + LoadKinds[caller.kind].target;
                else if (this->now > caller.lastEventAt + milliseconds(120))
                    caller.isLate = true;
                caller.lastEventAt = this->now;
                caller.lastEvent = std::stoull(event->bytes);
            }
        } else if (const auto *ended = std::get_if<RelayCommand::EndStream>(&command)) {
            if (const auto number = callerOf(ended->caller)) {
                Caller &caller = this->callers[*number];
                this->byCallerId.erase({entry, ended->caller});
                this->close(caller, caller.isLate ? &Tally::late : &Tally::inTime);
            }
        } else if (const auto *cut = std::get_if<RelayCommand::AbortStream>(&command)) {
            if (const auto number = callerOf(cut->caller)) {
                this->byCallerId.erase({entry, cut->caller});
                this->retryOrClose(*number, std::nullopt, true);
            }
        }
    }
}

LoadSimulation::Result LoadSimulation::run()
{
    this->scheduleArrivals();
    for (const Disruption &row : this->options.disruptions) {
        const auto count = static_cast<std::size_t>(std::ceil(row.factor * this->entries.size()));
        const auto plain = static_cast<std::size_t>(std::ceil(row.factor * PlainServers));
        if (row.kind == Fault::GroupStall) {
            this->schedule(row.at, [this] { this->isGroupStalled = true; });
            this->schedule(row.at + std::min(StallTime, row.span), [this] { this->abortGroup(); });
            this->schedule(row.at + row.span,
                           [this] { this->isGroupStalled = this->isGroupRejecting = false; });
        } else if (row.kind == Fault::GroupReforming) {
            this->schedule(row.at, [this] {
                this->isGroupStalled = true;
                this->abortGroup();
            });
            this->schedule(row.at + row.span,
                           [this] { this->isGroupStalled = this->isGroupRejecting = false; });
        } else if (row.kind == Fault::EntriesRestarted) {
            for (std::size_t entry = 0; entry < count; ++entry) {
                this->schedule(row.at, [this, entry] { this->stopEntry(entry); });
                this->schedule(row.at + row.span, [this, entry] { this->startEntry(entry); });
            }
        } else if (row.kind == Fault::CrashingRequest) {
            const std::chrono::duration<double> period(1 / row.factor);
            for (Time after = row.at; after < row.at + row.span;
                 after += std::chrono::duration_cast<Time>(period))
                this->schedule(after, [this] { this->arriveCrashing(); });
        } else if (row.kind == Fault::PlainServersUnreachable
                   || row.kind == Fault::PlainServersFlaky) {
            const bool isGone = row.kind == Fault::PlainServersUnreachable;
            for (std::size_t server = 0; server < plain; ++server) {
                Backend &backend = this->backends[this->options.ranks + server];
                this->schedule(row.at, [this, &backend, isGone] {
                    (isGone ? backend.isUnreachable : backend.isFlaky) = true;
                    if (!isGone)
                        return;
                    for (const auto *list : {&backend.running, &backend.queue}) {
                        for (const Work &work : *list)
                            this->breakWork(work, AttemptFailure::Broken);
                    }
                    backend.running.clear();
                    backend.queue.clear();
                });
                this->schedule(row.at + row.span, [&backend, isGone] {
                    (isGone ? backend.isUnreachable : backend.isFlaky) = false;
                });
            }
        }
    }
    this->sendReports();
    this->stepGroup();
    const std::function<void()> tick = [this, &tick] {
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (this->entries[entry].node == nullptr)
                continue;
            RelayNode::Commands commands;
            this->entries[entry].node->tick(this->now, commands);
            this->execute(entry, commands);
        }
        this->schedule(TickInterval, tick);
    };
    tick();
    // The longest deadline of a caller is eight seconds.
    const Instant end = this->now + this->options.length + seconds(10);
    while (!this->eventQueue.empty() && this->eventQueue.begin()->first <= end) {
        auto first = this->eventQueue.extract(this->eventQueue.begin());
        this->now = first.key();
        first.mapped()();
    }

    static constexpr std::uint32_t MinRequests = 20;
    for (std::size_t second = 0; second + 1 < this->result.bySecond.size(); ++second) {
        Tally window = this->result.bySecond[second];
        const Tally &next = this->result.bySecond[second + 1];
        window.counted += next.counted;
        window.inTime += next.inTime;
        window.late += next.late;
        if (window.counted >= MinRequests)
            this->result.worstWindow = std::min(this->result.worstWindow, window.score());
    }
    for (const auto &[name, tally] : this->result.byKind)
        this->result.worstKind = std::min(this->result.worstKind, tally.score());
    for (const auto &[name, tally] : this->result.byAccount) {
        if (tally.counted >= MinRequests)
            this->result.worstAccount = std::min(this->result.worstAccount, tally.score());
    }
    return this->result;
}

} // namespace Nutmegrill
