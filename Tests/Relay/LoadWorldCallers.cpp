// The callers of LoadWorld: arrivals, timeouts and repeats.

#include "LoadWorldParts.h"

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

} // namespace

void LoadWorld::scheduleArrivals()
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
            this->agenda.emplace(this->now + microseconds(static_cast<std::int64_t>(at * 1e6)),
                                 [this, kind, keep] {
                                     const double usual = this->factorOf(Trouble::Crowd);
                                     const double heavy =
                                             0.2 * (this->factorOf(Trouble::HeavyAccount) - 1);
                                     if (keep < usual + heavy)
                                         this->arrive(kind);
                                 });
        }
    }
}

void LoadWorld::arrive(std::size_t kind)
{
    Caller caller;
    caller.kind = kind;
    // Account 0 normally sends a fifth of the requests; the others share the rest.
    const double heavy = this->factorOf(Trouble::HeavyAccount);
    const double ofFirst = 0.2 * heavy / (0.8 + 0.2 * heavy);
    caller.account = this->random.unit() < ofFirst ? 0 : 1 + this->random.below(Accounts - 1);
    caller.firstAt = this->now;
    caller.deadline = this->now + LoadKinds[kind].deadline;
    caller.isImpatient = this->random.unit() < this->factorOf(Trouble::ImpatientCallers);
    if (caller.isImpatient)
        caller.repeatsLeft = ImpatientRepeats;
    caller.isOwed = !(this->random.unit() < this->factorOf(Trouble::EarlyLeavers));
    const std::size_t number = this->callers.size();
    this->callers.push_back(caller);
    if (!caller.isOwed)
        this->after(EarlyDisconnectDelay, [this, number] {
            Caller &row = this->callers[number];
            this->leave(row);
            row.isOver = true;
        });
    this->after(caller.deadline - this->now, [this, number] {
        Caller &row = this->callers[number];
        if (row.isOver)
            return;
        this->leave(row);
        this->close(row, &Tally::failed);
    });
    this->send(number);
}

void LoadWorld::send(std::size_t number)
{
    Caller &caller = this->callers[number];
    if (caller.isOver)
        return;
    std::vector<std::size_t> serving;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (this->entries[entry].node != nullptr)
            serving.push_back(entry);
    }
    caller.attempt = ++caller.attempts;
    caller.attemptAt = this->now;
    caller.heardAt = this->now;
    if (serving.empty()) {
        const std::uint32_t attempt = caller.attempt;
        this->after(milliseconds(200), [this, number, attempt] {
            Caller &row = this->callers[number];
            if (!row.isOver && row.attempt == attempt)
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
    const std::size_t entry = caller.entry;
    const std::uint32_t start = this->entries[entry].start;
    const RelayOrder::CallerId id = caller.id;
    this->after(NetworkDelay, [this, entry, start, id, request] {
        if (Entry *row = this->live(entry, start)) {
            RelayNode::Orders commands;
            row->node->requestArrived(this->now, id, request, commands);
            this->carryOut(entry, commands);
        }
    });
    this->checkPatience(number, caller.attempt);
}

void LoadWorld::checkPatience(std::size_t number, std::uint32_t attempt)
{
    Caller &caller = this->callers[number];
    if (caller.isOver || caller.attempt != attempt || !LoadKinds[caller.kind].isStream)
        return;
    const Instant due = caller.heardAt + StreamIdleTimeout;
    if (this->now >= due) {
        this->leave(caller);
        this->comeBack(number, std::nullopt, true);
        return;
    }
    this->after(due - this->now, [this, number, attempt] { this->checkPatience(number, attempt); });
}

void LoadWorld::leave(Caller &caller)
{
    if (caller.attempt == 0)
        return;
    caller.attempt = 0;
    const std::size_t entry = caller.entry;
    const RelayOrder::CallerId id = caller.id;
    if (this->byCallerId.erase({entry, id}) == 0 || this->entries[entry].node == nullptr)
        return;
    const std::uint32_t start = this->entries[entry].start;
    this->after(NetworkDelay, [this, entry, start, id] {
        if (Entry *row = this->live(entry, start)) {
            RelayNode::Orders commands;
            row->node->callerGone(this->now, id, commands);
            this->carryOut(entry, commands);
        }
    });
}

void LoadWorld::comeBack(std::size_t number, std::optional<milliseconds> retryAfter,
                         bool mayHaveRun)
{
    Caller &caller = this->callers[number];
    caller.attempt = 0;
    const bool mayRepeat = !mayHaveRun || LoadKinds[caller.kind].mayRunAgain;
    if (caller.isOver)
        return;
    if (caller.repeatsLeft == 0 || !mayRepeat) {
        this->close(caller, mayHaveRun ? &Tally::failed : &Tally::refused);
        return;
    }
    --caller.repeatsLeft;
    microseconds pause = milliseconds(5);
    if (retryAfter && !caller.isImpatient)
        pause = std::min<microseconds>(*retryAfter, (caller.deadline - this->now) / 3);
    this->after(pause, [this, number] { this->send(number); });
}

void LoadWorld::close(Caller &caller, std::uint32_t Tally::*outcome)
{
    if (caller.isOver)
        return;
    caller.isOver = true;
    caller.attempt = 0;
    if (!caller.isOwed)
        return;
    const auto second = static_cast<std::size_t>(
            std::chrono::duration_cast<seconds>(caller.firstAt - Instant(seconds(100))).count());
    for (Tally *tally :
         {&this->result.all, &this->result.byKind[LoadKinds[caller.kind].name],
          &this->result.byAccount[accountName(caller.account)], &this->result.bySecond[second]}) {
        ++tally->owed;
        ++(tally->*outcome);
    }
}

} // namespace Nutmegrill
