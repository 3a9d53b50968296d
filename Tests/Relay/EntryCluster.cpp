#include "EntryCluster.h"

#include "RelayNodeHarness.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Step{100};
constexpr milliseconds LateDelay{400};
/// Time from the end of a process to the first request that its successor accepts.
constexpr milliseconds RestartTime{300};
constexpr double ColdPerSecond = 26;
constexpr double ColdRateFactor = 1.5;
constexpr double ColdExcess = 5;
constexpr double RetryRatio = 0.2;
constexpr double RetryAllowance = 88;
constexpr seconds RetryWindow{10};
/// Time after the last fault within which every entry has to know the others and the store.
constexpr seconds ConvergenceTime{4};
/// Time from the acknowledgement of a configuration until it is in force at every entry.
constexpr seconds ApplyTime{2};
/// An entry that is frozen accepts connections, but does not answer.
constexpr milliseconds PeerAnswerTimeout{1000};

ConfigurationPtr configuration(std::uint64_t version)
{
    auto made = std::make_shared<Configuration>();
    made->version = version;
    Route route;
    route.name = "stream";
    route.host = "host.example";
    route.pathPrefix = "/stream/";
    route.kind = Route::Kind::Stream;
    route.targets = {{"model", 1}};
    route.timeout = milliseconds(8000);
    route.maxRuns = 3;
    route.isResumable = true;
    made->routes = {route};
    ServiceDeclaration model;
    model.name = "model";
    model.coldRequestsPerSecond = ColdPerSecond;
    made->services = {model};
    return made;
}

std::string addressOf(std::size_t entry)
{
    return "10.0.0." + std::to_string(entry + 1) + ":7340";
}

std::string nameOf(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

std::string domainOf(std::size_t entry)
{
    return entry % 2 == 0 ? "north" : "south";
}

void dropBefore(std::deque<Instant> &times, Instant begin)
{
    while (!times.empty() && times.front() <= begin)
        times.pop_front();
}

} // namespace

EntryCluster::EntryCluster(const Switches &switches, std::size_t count)
    : switches(switches), count(count), entries(count)
{
    this->writeConfiguration();
    // Each entry registers its address in the store, where the others find it.
    for (std::size_t entry = 0; entry < this->count; ++entry)
        this->store.push_back({"entry/" + addressOf(entry), addressOf(entry), ++this->revision});
    for (std::size_t entry = 0; entry < this->count; ++entry)
        this->start(entry, 0);
}

EntryCluster::~EntryCluster() = default;

void EntryCluster::writeConfiguration()
{
    ++this->revision;
    std::erase_if(this->store, [](const StoreChange &change) { return change.key == "config"; });
    this->store.push_back({"config", std::to_string(++this->version), this->revision});
}

void EntryCluster::start(std::size_t number, std::int64_t clockJump)
{
    Entry &entry = this->entries[number];
    RelayNode::Settings settings;
    settings.seed = number + 1;
    settings.peerAddress = addressOf(number);
    settings.retryLimit = {RetryRatio, RetryAllowance};
    settings.retryWindow = RetryWindow;
    settings.entries = this->switches.table;
    settings.reducesColdRateAfterStart = this->switches.reducesColdRateAfterStart;
    entry.node = std::make_unique<RelayNode>(settings);
    entry.mirror = {};
    entry.pull = {};
    entry.reports = {};
    entry.silentCalls.clear();
    entry.noticedStore = true;
    this->clock += 10;
    entry.incarnation = this->clock + static_cast<std::uint64_t>(500'000 + clockJump);
    entry.sequence = 0;
    this->attemptsOf[number].clear();
    entry.upAt = this->now + RestartTime;
    for (const std::string id : {"m1", "m2"}) {
        BackendRecord record = RelayNodeHarness::record(id, "model");
        record.slots = 1000;
        record.coldLeft = seconds(600);
        entry.node->roster().update(this->now, record);
    }
}

bool EntryCluster::isPartitioned(std::size_t from, std::size_t to) const
{
    return this->partitions.count({from, to}) != 0;
}

void EntryCluster::injectFault(ChoiceScript &script)
{
    const std::size_t entry = script.below(this->count);
    switch (script.below(9)) {
    case 0: // Partition in one direction only.
        this->partitions.insert({entry, script.below(this->count)});
        break;
    case 1:
        for (std::size_t other = 0; other < this->count; ++other) {
            this->partitions.insert({entry, other});
            this->partitions.insert({other, entry});
        }
        break;
    case 2:
        this->partitions.clear();
        break;
    case 3:
        this->entries[entry].reachesStore = false;
        break;
    case 4:
        for (Entry &row : this->entries)
            row.reachesStore = !row.reachesStore;
        break;
    case 5:
        this->start(entry, script.below(2) == 0 ? 0 : -100'000);
        break;
    case 6:
        for (std::size_t each = 0; each < this->count; ++each)
            this->start(each, script.below(2) == 0 ? 0 : -100'000);
        break;
    default:
        this->writeConfiguration();
        break;
    }
}

void EntryCluster::readStore(std::size_t number)
{
    Entry &entry = this->entries[number];
    const bool isComplete = entry.mirror.position().revision > 0;
    if (isComplete
        && !entry.node->entries().watchesStore(nameOf(number), domainOf(number), this->now))
        return;
    entry.noticedStore = entry.reachesStore;
    const StorePosition position{this->generation, this->revision};
    if (!entry.reachesStore || entry.mirror.position() == position)
        return;
    this->applyChanges(number, entry.mirror.reset(this->store, position));
}

void EntryCluster::applyChanges(std::size_t number, const StoreMirror::Changes &changes)
{
    RelayNode &node = *this->entries[number].node;
    RelayNode::Commands commands;
    for (const StoreChange &change : changes) {
        if (change.key == "config" && change.value)
            node.configure(configuration(std::stoull(*change.value)), commands);
        else if (change.value && *change.value != addressOf(number))
            node.entries().addAddress(this->now, *change.value);
    }
}

void EntryCluster::sendReports(std::size_t number, bool isLossy)
{
    Entry &entry = this->entries[number];
    EntryReport report;
    report.name = nameOf(number);
    report.failureDomain = domainOf(number);
    report.reachesStore = entry.noticedStore;
    report.peerAddress = addressOf(number);
    report.callerAddress = report.peerAddress;
    report.incarnation = entry.incarnation;
    report.sequence = ++entry.sequence;
    report.isServing = entry.node->isConfigured();
    report.known = entry.mirror.position();
    const bool watches =
            entry.node->entries().watchesStore(nameOf(number), domainOf(number), this->now);
    if (!entry.reports.isDue(
                this->now, entry.node->entries().size() + 1,
                {report.isServing, false, false, watches, report.known, entry.node->hasNews()}))
        return;
    entry.node->fillReport(this->now, report);
    for (const std::string &address : entry.node->entries().peerAddresses()) {
        for (std::size_t to = 0; to < this->count; ++to) {
            if (addressOf(to) != address || this->isPartitioned(number, to))
                continue;
            const std::uint64_t fate = isLossy ? this->random.below(10) : 9;
            if (fate != 0) // Otherwise the datagram is lost.
                this->inFlight.push_back({this->now, to, report});
            if (fate == 1) // Duplicated, with a late copy.
                this->inFlight.push_back({this->now + LateDelay, to, report});
        }
    }
}

void EntryCluster::pullFromPeer(std::size_t number)
{
    Entry &entry = this->entries[number];
    if (!this->switches.pullsFromPeers)
        return;
    std::erase_if(entry.silentCalls, [&](const auto &call) {
        const bool isOver = call.first <= this->now;
        if (isOver)
            entry.pull.end(this->now, call.second, false);
        return isOver;
    });
    const auto peer = entry.pull.begin(this->now, entry.mirror.position(), domainOf(number),
                                       entry.node->entries());
    if (!peer)
        return;
    entry.silentCalls.emplace_back(this->now + PeerAnswerTimeout, *peer);
    for (std::size_t from = 0; from < this->count; ++from) {
        if (addressOf(from) != *peer || !this->isUp(from) || this->isPartitioned(from, number)
            || this->isPartitioned(number, from))
            continue;
        entry.silentCalls.pop_back();
        entry.pull.end(this->now, *peer, true);
        const StoreMirror::Update update =
                this->entries[from].mirror.since(entry.mirror.position());
        const auto changes = update.isWhole ? entry.mirror.reset(update.items, update.position)
                                            : entry.mirror.apply(update.items, update.position);
        this->applyChanges(number, changes);
    }
}

void EntryCluster::serve(std::size_t number, std::uint32_t requests)
{
    Entry &entry = this->entries[number];
    RelayNode::Commands commands;
    for (std::uint32_t count = 0; count < requests; ++count) {
        RelayRequest request;
        request.id = "r";
        request.host = "host.example";
        request.path = "/stream/";
        request.timeLeft = seconds(8);
        this->requestTimes.push_back(this->now);
        entry.node->requestArrived(this->now, this->nextCaller++, request, commands);
    }
    entry.node->tick(this->now, commands);
    this->execute(number, commands);
}

void EntryCluster::execute(std::size_t number, RelayNode::Commands &commands)
{
    std::vector<RelayCommand::AttemptId> rejected;
    std::vector<RelayCommand::AttemptId> answered;
    for (const RelayCommand::Any &command : commands) {
        const auto *start = std::get_if<RelayCommand::StartAttempt>(&command);
        if (start == nullptr)
            continue;
        this->sends[start->backend].push_back(this->now);
        if (++this->attemptsOf[number][start->caller] > 1)
            this->repeatTimes.push_back(this->now);
        // Every second attempt is rejected.
        (start->attempt % 2 == 0 ? rejected : answered).push_back(start->attempt);
    }
    RelayNode::Commands further;
    RelayNode &node = *this->entries[number].node;
    for (const RelayCommand::AttemptId attempt : answered)
        node.answerEnded(this->now, attempt, further);
    for (const RelayCommand::AttemptId attempt : rejected) {
        AnswerHead head;
        head.status = 503;
        head.notRun = true;
        node.headArrived(this->now, attempt, head, further);
        node.answerEnded(this->now, attempt, further);
    }
    if (!further.empty())
        this->execute(number, further);
}

void EntryCluster::step(std::uint32_t requests, bool isLossy)
{
    this->now += Step;
    RelayNode::Commands commands;
    for (const Datagram &datagram : this->inFlight) {
        if (datagram.arrival <= this->now && this->isUp(datagram.to))
            this->entries[datagram.to].node->reportArrived(this->now, datagram.report, commands);
    }
    std::erase_if(this->inFlight,
                  [this](const Datagram &datagram) { return datagram.arrival <= this->now; });
    for (std::size_t entry = 0; entry < this->count; ++entry) {
        if (!this->isUp(entry))
            continue;
        this->readStore(entry);
        this->sendReports(entry, isLossy);
        this->pullFromPeer(entry);
        this->serve(entry, requests);
    }
}

std::string EntryCluster::checkLimits()
{
    for (auto &[backend, times] : this->sends) {
        dropBefore(times, this->now - seconds(1));
        if (static_cast<double>(times.size()) > ColdPerSecond * ColdRateFactor + ColdExcess)
            return "cold " + backend + " got " + std::to_string(times.size()) + " in a second";
    }
    dropBefore(this->requestTimes, this->now - RetryWindow);
    dropBefore(this->repeatTimes, this->now - RetryWindow);
    const double allowed =
            RetryRatio * static_cast<double>(this->requestTimes.size()) + RetryAllowance;
    if (static_cast<double>(this->repeatTimes.size()) > allowed)
        return std::to_string(this->repeatTimes.size()) + " repeats for "
               + std::to_string(this->requestTimes.size()) + " requests";
    return {};
}

std::string EntryCluster::checkConvergence()
{
    for (std::size_t entry = 0; entry < this->count; ++entry) {
        const RelayNode &node = *this->entries[entry].node;
        const std::size_t known =
                this->entries[entry].node->entries().servingAddresses(this->now).size();
        if (known != this->count - 1)
            return "entry " + std::to_string(entry) + " names " + std::to_string(known)
                   + " other entries";
        if (this->entries[entry].mirror.position()
                    != StorePosition{this->generation, this->revision}
            || node.configurationVersion() != this->version)
            return "entry " + std::to_string(entry) + " does not know the last configuration";
        if (!node.isConfigured())
            return "entry " + std::to_string(entry) + " has no configuration";
    }
    return {};
}

void EntryCluster::settle()
{
    constexpr int SettlingSteps = 20;
    for (int count = 0; count < SettlingSteps; ++count)
        this->step(0, false);
}

std::string EntryCluster::runLossAfterReport(const std::set<std::size_t> &lostEntries)
{
    this->settle();
    this->writeConfiguration();
    const Instant end = this->now + ApplyTime;
    this->step(0, false);
    for (const std::size_t lost : lostEntries)
        this->entries[lost].upAt = NoDeadline;
    while (this->now + Step <= end)
        this->step(0, false);
    for (std::size_t entry = 0; entry < this->count; ++entry) {
        if (lostEntries.count(entry) == 0
            && this->entries[entry].mirror.position().revision != this->revision)
            return "without entry " + std::to_string(*lostEntries.begin()) + ", entry "
                   + std::to_string(entry) + " does not know the last configuration";
    }
    return {};
}

std::string EntryCluster::runLossOfWatchers()
{
    this->settle();
    std::set<std::size_t> watchers;
    for (std::size_t entry = 0; entry < this->count; ++entry) {
        if (domainOf(entry) == domainOf(0)
            && this->entries[entry].node->entries().watchesStore(nameOf(entry), domainOf(entry),
                                                                 this->now))
            watchers.insert(entry);
    }
    return watchers.size() == 2 ? this->runLossAfterReport(watchers)
                                : std::to_string(watchers.size()) + " watchers";
}

std::string EntryCluster::runRestore()
{
    constexpr int Changes = 6;
    this->settle();
    const auto copy = this->store;
    const std::uint64_t copiedRevision = this->revision;
    for (int count = 0; count < Changes; ++count) {
        this->writeConfiguration();
        this->step(0, false);
    }
    const StoreMirror before = this->entries[0].mirror;
    const StoreChange newest = this->store.back();
    for (int restore = 0; restore < 2; ++restore) {
        this->store = copy;
        this->revision = copiedRevision;
        ++this->generation;
        // One entry learns of it first, and another one starts without a memory.
        for (std::size_t entry = 0; entry < this->count; ++entry)
            this->entries[entry].reachesStore = entry == 1;
        this->start(2, 0);
        this->step(0, false);
        ++this->revision;
        std::erase_if(this->store,
                      [](const StoreChange &change) { return change.key == "config"; });
        this->store.push_back({"config", newest.value, this->revision});
        this->step(0, false);
        for (std::size_t entry = 0; entry < this->count; ++entry) {
            this->entries[entry].reachesStore = entry != 0;
            const auto late = before.since({});
            if (!this->entries[entry].mirror.reset(late.items, late.position).empty()
                && this->entries[entry].mirror.position().generation == this->generation)
                return "a late answer of an earlier generation was applied";
        }
        // The store passes the revisions of before.
        for (int count = 0; count < 2 * Changes; ++count) {
            this->writeConfiguration();
            const Instant end = this->now + ApplyTime;
            while (this->now + Step <= end)
                this->step(0, false);
            if (const std::string failure = this->checkConvergence(); !failure.empty())
                return "restore " + std::to_string(restore + 1) + ", change "
                       + std::to_string(count + 1) + ": " + failure;
        }
    }
    return {};
}

std::string EntryCluster::run(ChoiceScript &script)
{
    this->random = RandomSource(script.below(1000));
    while (!script.isExhausted()) {
        if (script.below(4) == 0)
            this->injectFault(script);
        const auto requests = static_cast<std::uint32_t>(script.below(30));
        this->step(requests, true);
        if (const std::string failure = this->checkLimits(); !failure.empty())
            return failure;
    }
    // The partitions end, and only one entry reaches the store; the others learn from it.
    this->partitions.clear();
    const std::size_t reaching = this->random.below(this->count);
    for (std::size_t entry = 0; entry < this->count; ++entry)
        this->entries[entry].reachesStore = entry == reaching;
    for (Instant end = this->now + ConvergenceTime; this->now < end;) {
        this->step(1, false);
        if (const std::string failure = this->checkLimits(); !failure.empty())
            return failure;
    }
    return this->checkConvergence();
}

} // namespace Nutmegrill
