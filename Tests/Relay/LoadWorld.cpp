#include "LoadWorld.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Nutmegrill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Ranks = 12;
constexpr std::uint32_t RankSlots = 12;
constexpr std::size_t PlainServers = 3;
constexpr std::uint32_t PlainSlots = 6;
constexpr std::size_t RankQueue = 4;
constexpr std::size_t PlainQueue = 6;
constexpr std::uint32_t Events = 28;
constexpr milliseconds PlainWork{60};
/// A pass of the group: a fixed part and a part for each stream of the rank that runs most, because
/// all ranks wait for the slowest one.
constexpr microseconds PassBase{32000};
constexpr microseconds PassPerStream{3000};
constexpr milliseconds NetworkDelay{1};
constexpr milliseconds ReportPeriod{100};
constexpr milliseconds TickPeriod{20};
/// Callers leave a stream that shows nothing for this long.
constexpr milliseconds StreamPatience{2000};
constexpr milliseconds EarlyLeave{200};
/// A group without one of its ranks stalls this long before it cuts its work.
constexpr milliseconds StallTime{1500};
constexpr std::uint32_t ImpatientRepeats = 3;
constexpr std::size_t Accounts = 10;

std::string accountName(std::size_t number)
{
    return "account-" + std::to_string(number);
}

Route route(const std::string &name, Route::Kind kind, const std::string &service)
{
    Route made;
    made.name = name;
    made.host = "host.example";
    made.pathPrefix = "/" + name + "/";
    made.kind = kind;
    made.targets = {{service, 1}};
    const bool isStream = kind == Route::Kind::Stream;
    made.timeout = isStream ? milliseconds(8000) : milliseconds(1500);
    made.latencyTarget = isStream ? milliseconds(400) : milliseconds(300);
    made.pauseTarget = isStream ? milliseconds(120) : milliseconds(0);
    made.maxRuns = kind == Route::Kind::NonIdempotent ? 1 : 3;
    made.isResumable = isStream;
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

BackendRecord record(const std::string &id, const std::string &service, std::uint32_t slots)
{
    BackendRecord made;
    made.id = id;
    made.service = service;
    made.address = "10.0.0.1:" + std::to_string(1000 + hash64(id) % 60000);
    made.failureDomain = "north";
    made.slots = slots;
    return made;
}

} // namespace

/// One request of a caller, through all its attempts.
struct LoadWorld::Caller
{
    std::size_t kind = 0;
    std::size_t account = 0;
    Instant firstAt;
    Instant deadline;
    std::uint32_t repeatsLeft = 1;
    bool isImpatient = false;
    std::size_t entry = 0;
    RelayOrder::CallerId id = 0;
    /// Number of the present attempt; 0 when none is open.
    std::uint32_t attempt = 0;
    std::uint32_t attempts = 0;
    Instant attemptAt;
    Instant heardAt;
    std::optional<std::uint64_t> lastEvent;
    bool isLate = false;
    bool isOver = false;
    bool isOwed = true;
};

struct LoadWorld::Entry
{
    std::unique_ptr<RelayNode> node;
    /// Differs between two starts.
    std::uint32_t start = 0;
    std::uint64_t sequence = 0;
};

/// An attempt at a backend server.
struct LoadWorld::Work
{
    std::size_t entry = 0;
    std::uint32_t start = 0;
    RelayOrder::AttemptId attempt = 0;
    std::string backend;
    std::uint64_t nextEvent = 1;
    bool hasHead = false;
};

struct LoadWorld::Backend
{
    std::string id;
    bool isRank = false;
    bool isGone = false;
    bool isGrey = false;
    std::uint32_t slots = 1;
    std::deque<Work> running;
    std::deque<Work> queue;
};

namespace {

struct KindRow
{
    const char *name;
    /// Arrivals a second; those of a quiet day of the first site.
    double rate;
    milliseconds deadline;
    milliseconds target;
    bool isStream;
    bool mayRunAgain;
};

constexpr std::array<KindRow, 3> Kinds = {
        {{"brief", 47.0, milliseconds(8000), milliseconds(400), true, true},
         {"record", 4.0, milliseconds(1500), milliseconds(300), false, false},
         {"lookup", 2.5, milliseconds(1500), milliseconds(300), false, true}}};

} // namespace

LoadWorld::LoadWorld(const Options &options) : options(options), random(options.seed)
{
    for (std::size_t number = 0; number < Ranks + PlainServers; ++number) {
        Backend backend;
        backend.isRank = number < Ranks;
        backend.id = (backend.isRank ? "rank-" : "plain-") + std::to_string(number);
        backend.slots = backend.isRank ? RankSlots : PlainSlots;
        this->backends.push_back(std::move(backend));
    }
    this->entries.resize(options.entries);
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->startEntry(entry);
    this->result.bySecond.resize(static_cast<std::size_t>(
            std::chrono::duration_cast<seconds>(options.length).count() + 1));
}

LoadWorld::~LoadWorld() = default;

void LoadWorld::after(Time delay, Step step)
{
    this->agenda.emplace(this->now + delay, std::move(step));
}

double LoadWorld::factorOf(Trouble kind) const
{
    const auto since = this->now - Instant(seconds(100));
    for (const Disruption &row : this->options.disruptions) {
        if (row.kind == kind && since >= row.at && since < row.at + row.span)
            return row.factor;
    }
    const bool isShare =
            kind != Trouble::Crowd && kind != Trouble::HeavyAccount && kind != Trouble::SlowSteps;
    return isShare ? 0 : 1;
}

LoadWorld::Entry *LoadWorld::live(std::size_t entry, std::uint32_t start)
{
    Entry &row = this->entries[entry];
    return row.node != nullptr && row.start == start ? &row : nullptr;
}

void LoadWorld::startEntry(std::size_t number)
{
    Entry &entry = this->entries[number];
    RelayNode::Settings settings;
    settings.seed = this->options.seed * 100 + number * 10 + entry.start;
    settings.retryLimit = {0.2, 88};
    settings.policy = this->options.policy;
    ++entry.start;
    entry.sequence = 0;
    entry.node = std::make_unique<RelayNode>(settings);
    RelayNode::Orders orders;
    entry.node->configure(configuration(), orders);
    for (const Backend &backend : this->backends)
        entry.node->roster().update(
                this->now, record(backend.id, backend.isRank ? "model" : "plain", backend.slots));
    for (std::size_t other = 0; other < this->entries.size(); ++other) {
        if (other != number)
            entry.node->entries().addAddress(this->now, "entry-" + std::to_string(other));
    }
}

void LoadWorld::stopEntry(std::size_t number)
{
    this->entries[number].node.reset();
    for (Backend &backend : this->backends) {
        const auto isLost = [number](const Work &work) { return work.entry == number; };
        std::erase_if(backend.running, isLost);
        std::erase_if(backend.queue, isLost);
    }
    // Callers notice nothing until they lose patience.
    std::erase_if(this->byCallerId,
                  [number](const auto &row) { return row.first.first == number; });
}

void LoadWorld::report()
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
        report.knownRevision = 1;
        entry.node->fillReport(report);
        this->after(NetworkDelay, [this, from, report] {
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (to != from && this->entries[to].node != nullptr)
                    this->entries[to].node->entries().update(this->now, report);
            }
        });
    }
    this->after(ReportPeriod, [this] { this->report(); });
}

void LoadWorld::scheduleArrivals()
{
    for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
        // Times of a Poisson process at the highest rate; those beyond the present rate are
        // dropped, so that one seed gives the same arrivals to every policy.
        const double highest = 8 * Kinds[kind].rate * this->options.load;
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
    // Account 0 has a fifth of the usual requests, the others share the rest.
    const double heavy = this->factorOf(Trouble::HeavyAccount);
    const double ofFirst = 0.2 * heavy / (0.8 + 0.2 * heavy);
    caller.account = this->random.unit() < ofFirst ? 0 : 1 + this->random.below(Accounts - 1);
    caller.firstAt = this->now;
    caller.deadline = this->now + Kinds[kind].deadline;
    caller.isImpatient = this->random.unit() < this->factorOf(Trouble::ImpatientCallers);
    if (caller.isImpatient)
        caller.repeatsLeft = ImpatientRepeats;
    caller.isOwed = !(this->random.unit() < this->factorOf(Trouble::EarlyLeavers));
    const std::size_t number = this->callers.size();
    this->callers.push_back(caller);
    if (!caller.isOwed)
        this->after(EarlyLeave, [this, number] {
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
    request.path = std::string("/") + Kinds[caller.kind].name + "/";
    request.key = accountName(caller.account);
    request.timeLeft = std::chrono::duration_cast<milliseconds>(caller.deadline - this->now);
    request.lastEvent = caller.lastEvent;
    const std::size_t entry = caller.entry;
    const std::uint32_t start = this->entries[entry].start;
    const RelayOrder::CallerId id = caller.id;
    this->after(NetworkDelay, [this, entry, start, id, request] {
        if (Entry *row = this->live(entry, start)) {
            RelayNode::Orders orders;
            row->node->requestArrived(this->now, id, request, orders);
            this->carryOut(entry, orders);
        }
    });
    this->checkPatience(number, caller.attempt);
}

void LoadWorld::checkPatience(std::size_t number, std::uint32_t attempt)
{
    Caller &caller = this->callers[number];
    if (caller.isOver || caller.attempt != attempt || !Kinds[caller.kind].isStream)
        return;
    const Instant due = caller.heardAt + StreamPatience;
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
            RelayNode::Orders orders;
            row->node->callerGone(this->now, id, orders);
            this->carryOut(entry, orders);
        }
    });
}

void LoadWorld::comeBack(std::size_t number, std::optional<milliseconds> retryAfter,
                         bool mayHaveRun)
{
    Caller &caller = this->callers[number];
    caller.attempt = 0;
    const bool mayRepeat = !mayHaveRun || Kinds[caller.kind].mayRunAgain;
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
         {&this->result.all, &this->result.byKind[Kinds[caller.kind].name],
          &this->result.byAccount[accountName(caller.account)], &this->result.bySecond[second]}) {
        ++tally->owed;
        ++(tally->*outcome);
    }
}

void LoadWorld::carryOut(std::size_t entry, RelayNode::Orders &orders)
{
    const auto callerOf = [&](RelayOrder::CallerId id) -> std::optional<std::size_t> {
        const auto found = this->byCallerId.find({entry, id});
        return found == this->byCallerId.end() ? std::nullopt : std::optional(found->second);
    };
    for (const RelayOrder::Any &order : orders) {
        if (const auto *start = std::get_if<RelayOrder::StartAttempt>(&order)) {
            this->startWork(entry, *start);
        } else if (const auto *cancelled = std::get_if<RelayOrder::CancelAttempt>(&order)) {
            this->cancel(entry, cancelled->attempt);
        } else if (const auto *refusal = std::get_if<RelayOrder::Refuse>(&order)) {
            if (const auto number = callerOf(refusal->caller)) {
                Caller &caller = this->callers[*number];
                this->byCallerId.erase({entry, refusal->caller});
                this->result.longestHold = std::max(
                        this->result.longestHold,
                        std::chrono::duration_cast<milliseconds>(this->now - caller.attemptAt));
                this->comeBack(*number, refusal->retryAfter, refusal->status != 503);
            }
        } else if (const auto *answer = std::get_if<RelayOrder::RelayAnswer>(&order)) {
            if (const auto number = callerOf(answer->caller)) {
                Caller &caller = this->callers[*number];
                this->byCallerId.erase({entry, answer->caller});
                const bool inTime = this->now <= caller.firstAt + Kinds[caller.kind].target;
                this->close(caller, inTime ? &Tally::inTime : &Tally::late);
            }
        } else if (const auto *event = std::get_if<RelayOrder::SendEvent>(&order)) {
            if (const auto number = callerOf(event->caller)) {
                Caller &caller = this->callers[*number];
                if (!caller.lastEvent)
                    caller.isLate = this->now > caller.firstAt + Kinds[caller.kind].target;
                else if (this->now > caller.heardAt + milliseconds(120))
                    caller.isLate = true;
                caller.heardAt = this->now;
                caller.lastEvent = std::stoull(event->bytes);
            }
        } else if (const auto *ended = std::get_if<RelayOrder::EndStream>(&order)) {
            if (const auto number = callerOf(ended->caller)) {
                Caller &caller = this->callers[*number];
                this->byCallerId.erase({entry, ended->caller});
                this->close(caller, caller.isLate ? &Tally::late : &Tally::inTime);
            }
        } else if (const auto *cut = std::get_if<RelayOrder::CutCaller>(&order)) {
            if (const auto number = callerOf(cut->caller)) {
                this->byCallerId.erase({entry, cut->caller});
                this->comeBack(*number, std::nullopt, true);
            }
        }
    }
}

LoadWorld::Backend *LoadWorld::backendOf(const std::string &id)
{
    for (Backend &backend : this->backends) {
        if (backend.id == id)
            return &backend;
    }
    return nullptr;
}

void LoadWorld::startWork(std::size_t entry, const RelayOrder::StartAttempt &start)
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
    }
    this->after(NetworkDelay, [this, work] { this->accept(work); });
}

void LoadWorld::accept(const Work &work)
{
    Backend &backend = *this->backendOf(work.backend);
    if (backend.isGone) {
        this->breakWork(work, AttemptFailure::NotSent);
        return;
    }
    if (backend.isRank && this->groupCut) {
        this->rejectWork(work, NetworkDelay);
        return;
    }
    const std::size_t longest = backend.isRank ? RankQueue : PlainQueue;
    if (backend.running.size() >= backend.slots && backend.queue.size() >= longest) {
        this->rejectWork(work, NetworkDelay);
        return;
    }
    backend.queue.push_back(work);
    if (!backend.isRank)
        this->serve(backend);
}

void LoadWorld::rejectWork(const Work &work, Time delay)
{
    this->after(delay, [this, work] {
        Entry *entry = this->live(work.entry, work.start);
        if (entry == nullptr)
            return;
        RelayNode::Orders orders;
        AnswerHead head;
        head.status = 503;
        head.notRun = true;
        entry->node->headArrived(this->now, work.attempt, head, orders);
        entry->node->answerEnded(this->now, work.attempt, orders);
        this->carryOut(work.entry, orders);
    });
}

void LoadWorld::breakWork(const Work &work, AttemptFailure failure)
{
    this->after(NetworkDelay, [this, work, failure] {
        if (Entry *entry = this->live(work.entry, work.start)) {
            RelayNode::Orders orders;
            entry->node->attemptFailed(this->now, work.attempt, failure, orders);
            this->carryOut(work.entry, orders);
        }
    });
}

void LoadWorld::cancel(std::size_t entry, RelayOrder::AttemptId attempt)
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

void LoadWorld::serve(Backend &backend)
{
    while (!backend.queue.empty() && backend.running.size() < backend.slots) {
        const Work work = backend.queue.front();
        backend.queue.pop_front();
        backend.running.push_back(work);
        const auto span = microseconds(static_cast<std::int64_t>(-std::log(1 - this->random.unit())
                                                                 * 1000.0 * PlainWork.count()));
        const std::string id = backend.id;
        this->after(span, [this, work, id] {
            Backend &row = *this->backendOf(id);
            const auto found =
                    std::find_if(row.running.begin(), row.running.end(), [&](const Work &other) {
                        return other.entry == work.entry && other.attempt == work.attempt
                               && other.start == work.start;
                    });
            if (found == row.running.end())
                return;
            row.running.erase(found);
            const bool fails = row.isGrey && this->random.unit() < 0.5;
            if (fails) {
                this->breakWork(work, AttemptFailure::Broken);
            } else if (Entry *entry = this->live(work.entry, work.start)) {
                RelayNode::Orders orders;
                AnswerHead head;
                head.status = 200;
                head.load =
                        AnswerHead::Load{static_cast<std::uint32_t>(row.running.size()),
                                         static_cast<std::uint32_t>(row.queue.size()), row.slots};
                entry->node->headArrived(this->now, work.attempt, head, orders);
                entry->node->answerEnded(this->now, work.attempt, orders);
                this->carryOut(work.entry, orders);
            }
            this->serve(row);
        });
    }
}

void LoadWorld::step()
{
    std::size_t most = 0;
    if (!this->groupStalled) {
        // Answers first: an order that they cause may cancel work in these lists.
        std::vector<Work> shown;
        for (Backend &backend : this->backends) {
            if (!backend.isRank)
                continue;
            for (Work &work : backend.running) {
                shown.push_back(work);
                work.hasHead = true;
                ++work.nextEvent;
            }
            std::erase_if(backend.running,
                          [](const Work &work) { return work.nextEvent > Events; });
            while (!backend.queue.empty() && backend.running.size() < backend.slots) {
                backend.running.push_back(backend.queue.front());
                backend.queue.pop_front();
            }
            most = std::max(most, backend.running.size());
        }
        for (const Work &work : shown) {
            Entry *entry = this->live(work.entry, work.start);
            if (entry == nullptr)
                continue;
            const Backend &backend = *this->backendOf(work.backend);
            RelayNode::Orders orders;
            if (!work.hasHead) {
                AnswerHead head;
                head.status = 200;
                head.isStream = true;
                head.load = AnswerHead::Load{static_cast<std::uint32_t>(backend.running.size()),
                                             static_cast<std::uint32_t>(backend.queue.size()),
                                             backend.slots};
                entry->node->headArrived(this->now, work.attempt, head, orders);
            }
            entry->node->eventArrived(this->now, work.attempt,
                                      {work.nextEvent, std::to_string(work.nextEvent)}, orders);
            if (work.nextEvent >= Events)
                entry->node->answerEnded(this->now, work.attempt, orders);
            this->carryOut(work.entry, orders);
        }
    }
    const double slow = this->factorOf(Trouble::SlowSteps);
    const microseconds usual = PassBase + PassPerStream * static_cast<std::int64_t>(most);
    this->after(microseconds(static_cast<std::int64_t>(slow * static_cast<double>(usual.count()))),
                [this] { this->step(); });
}

void LoadWorld::stall()
{
    this->groupCut = true;
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

LoadWorld::Result LoadWorld::run()
{
    this->scheduleArrivals();
    for (const Disruption &row : this->options.disruptions) {
        const auto count = static_cast<std::size_t>(std::ceil(row.factor * this->entries.size()));
        const auto plain = static_cast<std::size_t>(std::ceil(row.factor * PlainServers));
        if (row.kind == Trouble::GroupStall) {
            this->after(row.at, [this] { this->groupStalled = true; });
            this->after(row.at + std::min(StallTime, row.span), [this] { this->stall(); });
            this->after(row.at + row.span, [this] { this->groupStalled = this->groupCut = false; });
        } else if (row.kind == Trouble::GroupForming) {
            this->after(row.at, [this] {
                this->groupStalled = true;
                this->stall();
            });
            this->after(row.at + row.span, [this] { this->groupStalled = this->groupCut = false; });
        } else if (row.kind == Trouble::EntriesRestarted) {
            for (std::size_t entry = 0; entry < count; ++entry) {
                this->after(row.at, [this, entry] { this->stopEntry(entry); });
                this->after(row.at + row.span, [this, entry] { this->startEntry(entry); });
            }
        } else if (row.kind == Trouble::PlainServersGone || row.kind == Trouble::GreyPlainServers) {
            const bool isGone = row.kind == Trouble::PlainServersGone;
            for (std::size_t server = 0; server < plain; ++server) {
                Backend &backend = this->backends[Ranks + server];
                this->after(row.at, [this, &backend, isGone] {
                    (isGone ? backend.isGone : backend.isGrey) = true;
                    if (!isGone)
                        return;
                    for (const auto *list : {&backend.running, &backend.queue}) {
                        for (const Work &work : *list)
                            this->breakWork(work, AttemptFailure::Broken);
                    }
                    backend.running.clear();
                    backend.queue.clear();
                });
                this->after(row.at + row.span, [&backend, isGone] {
                    (isGone ? backend.isGone : backend.isGrey) = false;
                });
            }
        }
    }
    this->report();
    this->step();
    const std::function<void()> tick = [this, &tick] {
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (this->entries[entry].node == nullptr)
                continue;
            RelayNode::Orders orders;
            this->entries[entry].node->tick(this->now, orders);
            this->carryOut(entry, orders);
        }
        this->after(TickPeriod, tick);
    };
    tick();
    // Callers wait eight seconds at most.
    const Instant end = this->now + this->options.length + seconds(10);
    while (!this->agenda.empty() && this->agenda.begin()->first <= end) {
        auto first = this->agenda.extract(this->agenda.begin());
        this->now = first.key();
        first.mapped()();
    }

    static constexpr std::uint32_t LeastRequests = 20;
    for (std::size_t second = 0; second + 1 < this->result.bySecond.size(); ++second) {
        Tally window = this->result.bySecond[second];
        const Tally &next = this->result.bySecond[second + 1];
        window.owed += next.owed;
        window.inTime += next.inTime;
        window.late += next.late;
        if (window.owed >= LeastRequests)
            this->result.worstWindow = std::min(this->result.worstWindow, window.worth());
    }
    for (const auto &[name, tally] : this->result.byKind)
        this->result.worstKind = std::min(this->result.worstKind, tally.worth());
    for (const auto &[name, tally] : this->result.byAccount) {
        if (tally.owed >= LeastRequests)
            this->result.worstAccount = std::min(this->result.worstAccount, tally.worth());
    }
    return this->result;
}

} // namespace Nutmegrill
