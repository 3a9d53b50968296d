// The callers of LoadSimulation: arrivals, timeouts and repeats.

#include "LoadSimulationParts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Callers disconnect from a stream without an event for this long.
constexpr milliseconds StreamIdleTimeout{2000};
constexpr milliseconds EarlyDisconnectDelay{200};
constexpr std::uint32_t ImpatientRepeats = 3;
/// Different first parts of prompts.
constexpr std::size_t FirstParts = 60;
constexpr std::uint64_t CrashingContent = 1;

} // namespace

void LoadSimulation::scheduleArrivals()
{
    for (std::size_t kind = 0; kind < LoadKinds.size(); ++kind) {
        // Poisson process at the highest rate, thinned to the current rate, so that one seed gives
        // the same arrivals with every policy.
        const double highest = 8 * LoadKinds[kind].rate * this->options.load;
        double at = 0;
        const double end = std::chrono::duration<double>(this->options.length).count();
        while (at < end) {
            at += -std::log(1 - this->random.unit()) / highest;
            const double keep = this->random.unit() * 8;
            this->eventQueue.emplace(this->now + microseconds(static_cast<std::int64_t>(at * 1e6)),
                                     [this, kind, keep] {
                                         const double usual = this->factorOf(Fault::LoadSpike);
                                         const double heavy =
                                                 0.2 * (this->factorOf(Fault::HeavyAccount) - 1);
                                         if (keep < usual + heavy)
                                             this->arrive(kind);
                                     });
        }
    }
}

void LoadSimulation::arrive(std::size_t kind)
{
    Caller caller;
    caller.kind = kind;
    // Account 0 normally sends a fifth of the requests; the others share the rest.
    const double heavy = this->factorOf(Fault::HeavyAccount);
    const double ofFirst = 0.2 * heavy / (0.8 + 0.2 * heavy);
    caller.account = this->random.unit() < ofFirst ? 0 : 1 + this->random.below(Accounts - 1);
    caller.firstAt = this->now;
    caller.deadline = this->now + LoadKinds[kind].deadline;
    caller.repeatsAtOnce = this->random.unit() < this->factorOf(Fault::ImmediateRepeats);
    if (caller.repeatsAtOnce)
        caller.repeatsLeft = ImpatientRepeats;
    caller.isCounted = !(this->random.unit() < this->factorOf(Fault::EarlyDisconnects));
    if (LoadKinds[kind].isStream)
        caller.sharedParts = {"first-" + std::to_string(this->partRandom.below(FirstParts))};
    if (LoadKinds[kind].isStream && this->partRandom.unit() < this->factorOf(Fault::CrashingPart)) {
        caller.sharedParts.push_back("crashing");
        caller.crashesServers = true;
        caller.isCounted = false;
    }
    this->begin(std::move(caller));
}

void LoadSimulation::arriveCrashing()
{
    const auto lookup = std::find_if(LoadKinds.begin(), LoadKinds.end(), [](const LoadKind &kind) {
        return !kind.isStream && kind.mayRunAgain;
    });
    Caller caller;
    caller.kind = static_cast<std::size_t>(lookup - LoadKinds.begin());
    caller.account = 1;
    caller.firstAt = this->now;
    caller.deadline = this->now + lookup->deadline;
    caller.content = CrashingContent;
    caller.crashesServers = true;
    caller.isCounted = false;
    this->begin(std::move(caller));
}

void LoadSimulation::begin(Caller caller)
{
    const std::size_t number = this->callers.size();
    // The content of a plain request belongs to its caller.
    if (caller.content == 0 && !LoadKinds[caller.kind].isStream)
        caller.content = CrashingContent + 1 + number;
    this->callers.push_back(caller);
    if (!caller.isCounted && !caller.crashesServers)
        this->schedule(EarlyDisconnectDelay, [this, number] {
            Caller &row = this->callers[number];
            this->disconnect(row);
            row.isClosed = true;
        });
    this->schedule(caller.deadline - this->now, [this, number] {
        Caller &row = this->callers[number];
        if (row.isClosed)
            return;
        this->disconnect(row);
        this->close(row, &Tally::failed);
    });
    this->send(number);
}

void LoadSimulation::send(std::size_t number)
{
    Caller &caller = this->callers[number];
    if (caller.isClosed)
        return;
    std::vector<std::size_t> serving;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (this->entries[entry].node != nullptr)
            serving.push_back(entry);
    }
    caller.attempt = ++caller.attempts;
    caller.attemptAt = this->now;
    caller.lastEventAt = this->now;
    if (serving.empty()) {
        const std::uint32_t attempt = caller.attempt;
        this->schedule(milliseconds(200), [this, number, attempt] {
            Caller &row = this->callers[number];
            if (!row.isClosed && row.attempt == attempt)
                this->send(number);
        });
        return;
    }
    caller.entry = serving[this->random.below(serving.size())];
    caller.id = this->nextCallerId++;
    this->byCallerId[{caller.entry, caller.id}] = number;
    RelayRequest request;
    request.id = "r" + std::to_string(number) + "-" + std::to_string(caller.attempt);
    request.host = "host.example";
    request.path = std::string("/") + LoadKinds[caller.kind].name + "/";
    request.key = accountName(caller.account);
    request.timeLeft = std::chrono::duration_cast<milliseconds>(caller.deadline - this->now);
    request.lastEvent = caller.lastEvent;
    request.sharedParts = caller.sharedParts;
    request.contentHash = caller.content;
    const std::size_t entry = caller.entry;
    const std::uint32_t start = this->entries[entry].start;
    const RelayCommand::CallerId id = caller.id;
    this->schedule(NetworkDelay, [this, entry, start, id, request] {
        if (Entry *row = this->findRunning(entry, start)) {
            RelayNode::Commands commands;
            row->node->requestArrived(this->now, id, request, commands);
            this->execute(entry, commands);
        }
    });
    this->checkIdleTimeout(number, caller.attempt);
}

void LoadSimulation::checkIdleTimeout(std::size_t number, std::uint32_t attempt)
{
    Caller &caller = this->callers[number];
    if (caller.isClosed || caller.attempt != attempt || !LoadKinds[caller.kind].isStream)
        return;
    const Instant due = caller.lastEventAt + StreamIdleTimeout;
    if (this->now >= due) {
        this->disconnect(caller);
        this->retryOrClose(number, std::nullopt, true);
        return;
    }
    this->schedule(due - this->now,
                   [this, number, attempt] { this->checkIdleTimeout(number, attempt); });
}

void LoadSimulation::disconnect(Caller &caller)
{
    if (caller.attempt == 0)
        return;
    caller.attempt = 0;
    const std::size_t entry = caller.entry;
    const RelayCommand::CallerId id = caller.id;
    if (this->byCallerId.erase({entry, id}) == 0 || this->entries[entry].node == nullptr)
        return;
    const std::uint32_t start = this->entries[entry].start;
    this->schedule(NetworkDelay, [this, entry, start, id] {
        if (Entry *row = this->findRunning(entry, start)) {
            RelayNode::Commands commands;
            row->node->callerDisconnected(this->now, id, commands);
            this->execute(entry, commands);
        }
    });
}

void LoadSimulation::retryOrClose(std::size_t number, std::optional<milliseconds> retryAfter,
                                  bool mayHaveRun)
{
    Caller &caller = this->callers[number];
    caller.attempt = 0;
    const bool mayRepeat = !mayHaveRun || LoadKinds[caller.kind].mayRunAgain;
    if (caller.isClosed)
        return;
    if (caller.repeatsLeft == 0 || !mayRepeat) {
        this->close(caller, mayHaveRun ? &Tally::failed : &Tally::refused);
        return;
    }
    --caller.repeatsLeft;
    microseconds pause = milliseconds(5);
    if (retryAfter && !caller.repeatsAtOnce)
        pause = std::min<microseconds>(*retryAfter, (caller.deadline - this->now) / 3);
    this->schedule(pause, [this, number] { this->send(number); });
}

void LoadSimulation::close(Caller &caller, std::uint32_t Tally::*outcome)
{
    if (caller.isClosed)
        return;
    caller.isClosed = true;
    caller.attempt = 0;
    if (!caller.isCounted)
        return;
    const auto second = static_cast<std::size_t>(
            std::chrono::duration_cast<seconds>(caller.firstAt - Instant(seconds(100))).count());
    for (Tally *tally :
         {&this->result.all, &this->result.byKind[LoadKinds[caller.kind].name],
          &this->result.byAccount[accountName(caller.account)], &this->result.bySecond[second]}) {
        ++tally->counted;
        ++(tally->*outcome);
    }
}

} // namespace Nutmegrill
