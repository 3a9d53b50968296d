#include "DutyWorld.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds StepTime{50};
constexpr std::chrono::seconds Window{5};
/// The duty must not return to an earlier holder within this time.
constexpr std::chrono::milliseconds LeaseTime{3000};

} // namespace

struct DutyWorld::Entry
{
    Entry(std::size_t machine, std::uint64_t start, const DutyLease::Times &times)
        : machine(machine), start(start), lease("entry-" + std::to_string(start), times),
          counts("entry-" + std::to_string(machine), start, Window),
          reporter(std::chrono::seconds(10))
    {}

    std::size_t machine;
    std::uint64_t start;
    DutyLease lease;
    UsageCounts counts;
    UsageReporter reporter;
    Time pausedUntil{0};
    Time cutUntil{0};
    /// What the copy of the store showed some time ago.
    DutyView view;
};

DutyWorld::DutyWorld(const Options &options) : options(options), random(options.seed)
{
    for (std::size_t index = 0; index < options.entries; ++index)
        this->entries.push_back(nullptr);
    for (std::size_t index = 0; index < options.entries; ++index)
        this->start(index);
}

DutyWorld::~DutyWorld() = default;

UsageCounts::WallTime DutyWorld::wall() const
{
    return UsageCounts::WallTime(std::chrono::hours(500000) + this->now);
}

void DutyWorld::fail(const std::string &what)
{
    if (this->broken.empty())
        this->broken = "seed " + std::to_string(this->options.seed) + " at "
                       + std::to_string(this->now.count()) + " ms: " + what;
}

void DutyWorld::start(std::size_t index)
{
    this->entries[index] = std::make_unique<Entry>(index, this->nextStart++, this->options.times);
}

void DutyWorld::later(Time delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

void DutyWorld::apply(std::uint64_t caller, std::size_t index, const DutyCommand::Any &command,
                      bool isAnswered)
{
    using Outcome = DutyLease::Outcome;
    Outcome outcome = Outcome::Done;
    std::uint64_t granted = 0;
    if (std::holds_alternative<DutyCommand::GrantLease>(command)) {
        granted = this->nextLease++;
        this->leases[granted] = this->now + this->options.times.lifetime;
    } else if (const auto *create = std::get_if<DutyCommand::CreateLock>(&command)) {
        if (this->lock || this->leases.count(create->lease) == 0)
            outcome = Outcome::Refused;
        else
            this->lock = Lock{"entry-" + std::to_string(caller), create->lease};
    } else if (const auto *renewal = std::get_if<DutyCommand::RenewLease>(&command)) {
        if (this->leases.count(renewal->lease) == 0)
            outcome = Outcome::Refused;
        else
            this->leases[renewal->lease] = this->now + this->options.times.lifetime;
    } else if (const auto *write = std::get_if<DutyCommand::WriteRecord>(&command)) {
        if (write->expected != this->recordRevision) {
            outcome = Outcome::Refused;
        } else {
            this->record = write->record;
            this->recordRevision = ++this->revision;
        }
    }
    if (!isAnswered)
        return;
    const bool isAnswerLost = this->options.hasFaults && this->random.unit() < 0.05;
    const std::uint64_t written = this->recordRevision;
    this->later(Time(2 + static_cast<int>(this->random.below(20))),
                [this, caller, index, outcome, granted, written, isAnswerLost] {
                    Entry &entry = *this->entries[index];
                    if (entry.start != caller)
                        return;
                    entry.lease.resultArrived(this->instant(),
                                              isAnswerLost ? Outcome::Unknown : outcome, granted,
                                              written);
                });
}

void DutyWorld::callStore(Entry &entry, const DutyCommand::Any &command)
{
    const std::uint64_t caller = entry.start;
    const std::size_t index = entry.machine;
    const bool isAway = this->now < this->storeAwayUntil || this->now < entry.cutUntil;
    if (isAway) {
        // The call fails, and may be carried out late.
        this->later(Time(1500), [this, caller, index] {
            if (this->entries[index]->start == caller)
                this->entries[index]->lease.resultArrived(this->instant(),
                                                          DutyLease::Outcome::Unknown, 0, 0);
        });
        if (this->random.unit() < 0.3)
            this->later(
                    Time(500 + static_cast<int>(this->random.below(4000))),
                    [this, caller, index, command] { this->apply(caller, index, command, false); });
        return;
    }
    this->later(Time(2 + static_cast<int>(this->random.below(20))),
                [this, caller, index, command] { this->apply(caller, index, command, true); });
}

void DutyWorld::receive(std::size_t machine, const UsageReport &report)
{
    if (report.token < this->highestToken)
        this->fail("a token falls");
    this->highestToken = std::max(this->highestToken, report.token);
    if (const auto [row, isNew] = this->machineOfToken.emplace(report.token, machine);
        !isNew && row->second != machine)
        this->fail("two holders have one token");
    if (const auto [row, isNew] = this->reported.emplace(report.window, report.counts);
        !isNew && row->second != report.counts)
        this->fail("two reports of window " + std::to_string(report.window));
    bool sawOther = false;
    for (auto act = this->acts.rbegin(); act != this->acts.rend(); ++act) {
        if (act->at + LeaseTime < this->now)
            break;
        if (act->machine != machine)
            sawOther = true;
        else if (sawOther)
            this->fail("the duty returns to an earlier holder");
    }
    this->acts.push_back({this->now, machine});
    if (this->acts.size() > 200)
        this->acts.pop_front();
}

void DutyWorld::tickEntry(Entry &entry)
{
    if (this->now < entry.pausedUntil)
        return;
    if (this->now >= entry.cutUntil && this->now >= this->storeAwayUntil
        && this->random.unit() < 0.7) {
        entry.view = {};
        if (this->lock)
            entry.view.lockOwner = this->lock->owner;
        entry.view.record = this->record;
        entry.view.recordRevision = this->recordRevision;
    }
    if (this->random.unit() < 0.5)
        entry.counts.recordRun(this->wall(), "account-" + std::to_string(this->random.below(3)));
    entry.counts.tick(this->wall());
    const UsageMessage message = entry.counts.tell(this->wall());
    std::vector<std::string> others;
    for (const auto &other : this->entries) {
        if (other.get() == &entry)
            continue;
        others.push_back("entry-" + std::to_string(other->machine));
        if (this->now >= entry.cutUntil && this->random.unit() < 0.8)
            other->counts.messageArrived(message);
    }
    const Instant at = this->instant();
    if (const auto command = entry.lease.tick(at, entry.view, true))
        this->callStore(entry, *command);
    const auto report = entry.reporter.tick(at, this->wall(), entry.lease, entry.counts, others);
    if (!report)
        return;
    const std::uint64_t caller = entry.start;
    const std::size_t index = entry.machine;
    const bool isLost = this->options.hasFaults && this->random.unit() < 0.1;
    this->later(Time(2 + static_cast<int>(this->random.below(60))),
                [this, index, report = *report] { this->receive(index, report); });
    this->later(Time(100), [this, caller, index, isLost, window = report->window] {
        if (this->entries[index]->start == caller)
            this->entries[index]->reporter.answerArrived(this->instant(), window, !isLost);
    });
}

void DutyWorld::injectFault()
{
    const std::size_t index = this->random.below(this->entries.size());
    const Time span(200 + static_cast<int>(this->random.below(9000)));
    Entry &entry = *this->entries[index];
    switch (this->random.below(5)) {
    case 0:
        entry.pausedUntil = this->now + span;
        break;
    case 1:
        entry.cutUntil = this->now + span;
        break;
    case 2:
        this->start(index);
        break;
    case 3:
        this->storeAwayUntil = this->now + span;
        break;
    default:
        // Leases may end while the store is away.
        this->storeAwayUntil = this->now + span;
        this->leases.clear();
        break;
    }
}

void DutyWorld::step()
{
    this->now += StepTime;
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        const auto action = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        action();
    }
    std::erase_if(this->leases, [this](const auto &row) { return row.second <= this->now; });
    if (this->lock && this->leases.count(this->lock->lease) == 0)
        this->lock.reset();
    if (this->options.hasFaults && this->random.unit() < 0.01)
        this->injectFault();
    if (this->random.unit() < this->options.plannedStops)
        this->stopHolder();
    for (const auto &entry : this->entries)
        this->tickEntry(*entry);
}

void DutyWorld::stopHolder()
{
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        if (!this->entries[index]->lease.holds(this->instant()))
            continue;
        this->leases.erase(this->entries[index]->lease.leaseToEnd());
        this->start(index);
    }
}

std::string DutyWorld::run()
{
    for (const Time end = this->now + this->options.length;
         this->now < end && this->broken.empty();)
        this->step();
    return this->broken;
}

} // namespace Nutmegrill
