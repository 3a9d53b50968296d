#include "SoakWorld.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t PlainWorkers = 3;
constexpr std::size_t Workers = 6;
constexpr int PortsPerEntry = 10;
constexpr int EntryPorts = 100;
constexpr seconds CallerTimeout{6};
constexpr int DeadlineMs = 3000;
/// The bounds of the platform: a configuration is in force, and a process or the store counts as
/// calm again after a fault.
constexpr milliseconds ApplyTime{2000};
constexpr milliseconds StableWindow{3000};
/// Time that a process takes to end by plan and to start again.
constexpr milliseconds MaxEndTime{3500};
/// A disturbed store stretches the time until a configuration is in force by this much.
constexpr milliseconds StoreSlack{5000};
/// Faults end this long before the end.
constexpr seconds CalmTime{9};
/// Time of the requests that have to be served again.
constexpr seconds ServedTime{3};
constexpr double MinServed = 0.9;

std::string workerAddress(int firstPort, std::size_t number)
{
    return "127.0.0.1:" + std::to_string(firstPort + 10 + static_cast<int>(number));
}

} // namespace

std::string SoakWorld::entryAddress(int firstPort, std::size_t entry, int port)
{
    return "127.0.0.1:"
           + std::to_string(firstPort + EntryPorts + PortsPerEntry * static_cast<int>(entry)
                            + port);
}

SoakWorld::SoakWorld(const Options &options)
    : options(options), random(options.seed), planRandom(options.seed),
      store(this->loop, "127.0.0.1:" + std::to_string(options.firstPort)), callers(options.callers),
      entryFaultAt(options.entries)
{
    for (std::size_t number = 0; number < Workers; ++number)
        this->workers.push_back(std::make_unique<SoakWorker>(
                this->loop, this->random, workerAddress(options.firstPort, number),
                number < PlainWorkers ? "p" : "m", this->runs));
    this->writeAll();
    this->copy = this->store.copy();
}

SoakWorld::~SoakWorld() = default;

void SoakWorld::report(const std::string &promise, const std::string &detail)
{
    ++this->broken;
    std::printf("broken %s at %.3f s: %s\n", promise.c_str(),
                std::chrono::duration<double>(this->loop.now().time_since_epoch()).count(),
                detail.c_str());
    std::fflush(stdout);
}

void SoakWorld::writeConfiguration()
{
    ++this->version;
    std::string routes;
    const auto add = [&](const std::string &prefix, const std::string &kind,
                         const std::string &service) {
        routes += std::string(routes.empty() ? "" : ",") + R"({"name":")" + prefix
                  + R"(","hostname":"h.example","prefix":"/)" + prefix + R"(/","kind":")" + kind
                  + R"(","timeoutMs":3000,"targetLatencyMs":400,"service":")" + service
                  + R"(","attempts":2,"canResume":true})";
    };
    add("s", "streaming", "m");
    add("r", "non_idempotent", "p");
    add("l", "idempotent", "p");
    for (std::uint64_t number = 1; number <= this->version; ++number)
        add("v" + std::to_string(number), "idempotent", "p");
    this->configuration = R"({"version":)" + std::to_string(this->version) + R"(,"routes":[)"
                          + routes + R"(],"services":[{"name":"m"},{"name":"p"}]})";
    this->store.put("op/config", this->configuration);
    this->acknowledged.emplace(this->version, this->loop.now());
}

void SoakWorld::writeAll()
{
    if (this->version == 0)
        this->writeConfiguration();
    for (const auto &worker : this->workers) {
        if (worker->isUp())
            this->store.put("servers/" + worker->id(), worker->record());
    }
}

void SoakWorld::restoreStore()
{
    this->store.restore(*this->copy);
    this->store.failureStatus = 503;
    this->loop.after(milliseconds(300), [this] {
        this->store.failureStatus = 0;
        this->store.put("op/config", this->configuration);
        this->writeAll();
        this->copy = this->store.copy();
    });
}

void SoakWorld::at(milliseconds time, const std::string &what, std::function<void()> action)
{
    std::printf("plan %6lld ms %s\n", static_cast<long long>(time.count()), what.c_str());
    this->loop.after(time, std::move(action));
}

void SoakWorld::signal(const char *name, std::size_t entry)
{
    // The script starts a process again that has ended; one that was woken may end only then.
    const bool mayEnd = std::string_view(name) == "TERM" || std::string_view(name) == "CONT";
    this->entryFaultAt[entry] =
            std::max(this->entryFaultAt[entry],
                     this->loop.now() + (mayEnd ? MaxEndTime : milliseconds(500)));
    std::printf("order %s %zu\n", name, entry);
    std::fflush(stdout);
}

void SoakWorld::planFaults()
{
    const auto end = std::chrono::duration_cast<milliseconds>(this->options.length - CalmTime);
    const auto draw = [this](std::int64_t below) {
        return milliseconds(this->planRandom.below(static_cast<std::uint64_t>(below)));
    };
    for (milliseconds time(1500); time < end; time += milliseconds(50) + draw(500)) {
        const std::size_t entry = this->planRandom.below(this->options.entries);
        const milliseconds span = milliseconds(200) + draw(1500);
        const milliseconds until = std::min(time + span, end);
        const std::string number = " " + std::to_string(entry);
        switch (this->planRandom.below(11)) {
        case 0:
        case 1:
            this->at(time, "freeze" + number, [this, entry] { this->signal("STOP", entry); });
            this->at(until, "wake" + number, [this, entry] { this->signal("CONT", entry); });
            break;
        case 2:
            this->at(time, "kill" + number, [this, entry] { this->signal("KILL", entry); });
            break;
        case 3:
            // All entries in a row, while earlier stops are under way.
            for (std::size_t each = 0; each < this->options.entries; ++each)
                this->at(time + milliseconds(300) * static_cast<int>(each),
                         "terminate " + std::to_string(each),
                         [this, each] { this->signal("TERM", each); });
            time += milliseconds(1500);
            break;
        case 4:
            this->at(time, "kill all", [this] {
                for (std::size_t each = 0; each < this->options.entries; ++each)
                    this->signal("KILL", each);
            });
            time += milliseconds(1500);
            break;
        case 5:
            this->at(time, "terminate" + number, [this, entry] { this->signal("TERM", entry); });
            break;
        case 6:
            this->at(time, "hup" + number, [this, entry] { this->signal("HUP", entry); });
            break;
        case 7: {
            const std::size_t worker = this->planRandom.below(Workers);
            this->at(time, "crash of worker " + std::to_string(worker), [this, worker] {
                this->store.remove("servers/" + this->workers[worker]->id());
                this->workers[worker]->crash();
            });
            this->at(until, "start of worker " + std::to_string(worker), [this, worker] {
                if (this->workers[worker]->isUp())
                    return;
                this->workers[worker]->start();
                this->store.put("servers/" + this->workers[worker]->id(),
                                this->workers[worker]->record());
            });
            break;
        }
        case 8:
            this->at(time, "store restored", [this] {
                this->storeFaultAt = this->loop.now();
                this->restoreStore();
            });
            break;
        case 9:
            this->at(time, "store silent", [this] {
                this->storeFaultAt = this->loop.now();
                this->store.isSilent = true;
            });
            this->at(until, "store answers", [this] {
                this->storeFaultAt = this->loop.now();
                this->store.isSilent = false;
            });
            break;
        default:
            this->at(time, "history dropped", [this] {
                this->storeFaultAt = this->loop.now();
                this->store.compact();
            });
            break;
        }
    }
    for (milliseconds time(1000); time < end; time += milliseconds(1500))
        this->at(time, "configuration", [this] { this->writeConfiguration(); });
    this->at(milliseconds(1000), "workers fail in part", [this] {
        for (const auto &worker : this->workers)
            worker->setFaulty(true);
    });
    this->at(end, "faults end", [this] {
        for (const auto &worker : this->workers)
            worker->setFaulty(false);
    });
    std::fflush(stdout);
}

void SoakWorld::send(std::size_t number)
{
    Caller &caller = this->callers[number];
    if (caller.connection == nullptr || !caller.connection->isReusable()
        || caller.connection->idleDeadline() <= this->loop.now()) {
        caller.entry = this->random.below(this->options.entries);
        caller.connection = std::make_shared<ClientConnection>(
                this->loop, entryAddress(this->options.firstPort, caller.entry, 0),
                milliseconds(500));
    }
    static constexpr std::array<const char *, 4> Paths = {"/s/", "/s/", "/r/", "/l/"};
    caller.path = Paths[this->random.below(Paths.size())];
    caller.id = "q" + std::to_string(this->nextRequest++);
    caller.status = 0;
    caller.body.clear();
    ClientConnection::Handlers handlers;
    handlers.onHead = [this, number](const HttpHead &head) {
        const std::string *id = head.find("Attempt-Id");
        Caller &row = this->callers[number];
        row.status = head.status;
        if (id != nullptr && *id != row.id)
            this->report("MIXED", row.id + " got an answer to " + *id);
        return true;
    };
    handlers.onData = [this, number](std::string_view data) {
        this->callers[number].body.append(data);
    };
    handlers.onEnd = [this, number] { this->finish(number, true); };
    handlers.onFailure = [this, number](ClientConnection::Failure) { this->finish(number, false); };
    this->loop.after(CallerTimeout, [this, number, id = caller.id] {
        Caller &row = this->callers[number];
        if (row.id == id && row.connection != nullptr && row.connection->isBusy())
            row.connection->abort();
    });
    caller.connection->send("POST " + caller.path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                                    + caller.id + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs)
                                    + "\r\nContent-Length: 2\r\n\r\nxy",
                            std::move(handlers));
}

void SoakWorld::finish(std::size_t number, bool isWhole)
{
    const Caller &caller = this->callers[number];
    const bool isStream = caller.path == "/s/";
    const bool isSuccess = isWhole && caller.status == 200;
    ++this->outcomes[caller.path + " " + (isWhole ? std::to_string(caller.status) : "broken off")];
    if (caller.path == "/r/")
        this->plain.insert(caller.id);
    if (isSuccess) {
        ++this->checks["MIXED"];
        std::string expected = "done:" + caller.id;
        if (isStream) {
            expected.clear();
            for (int event = 1; event <= SoakWorker::Events; ++event)
                expected += SoakWorker::eventText(event);
        }
        if (caller.body != expected)
            this->report(isStream ? "ORDER" : "MIXED", caller.id + " got \"" + caller.body + "\"");
    }
    if (isWhole && (caller.status == 503 || caller.status == 429) && caller.path == "/r/") {
        this->refused.insert(caller.id);
    }
    if (isWhole && caller.status == 404)
        this->report("DENIED", caller.id + " on " + caller.path);
    if (this->loop.now().time_since_epoch() > this->options.length - ServedTime) {
        ++this->lateRequests;
        this->lateSuccesses += isSuccess ? 1 : 0;
    }
    const milliseconds pause = milliseconds(isSuccess ? 5 + this->random.below(40) : 150);
    this->loop.after(pause, [this, number] { this->send(number); });
}

bool SoakWorld::isCalm(Instant since) const
{
    return this->loop.now() > since + StableWindow;
}

void SoakWorld::probe()
{
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        if (!this->isCalm(this->entryFaultAt[entry]) || !this->isCalm(this->storeFaultAt))
            continue;
        std::uint64_t due = 0;
        for (const auto &[number, time] : this->acknowledged) {
            const bool wasDisturbed = this->storeFaultAt + StableWindow > time;
            if (this->loop.now() > time + ApplyTime + (wasDisturbed ? StoreSlack : milliseconds(0)))
                due = number;
        }
        if (due > 0)
            this->probeEntry(entry, due);
    }
}

void SoakWorld::probeEntry(std::size_t entry, std::uint64_t number)
{
    const auto connection = std::make_shared<ClientConnection>(
            this->loop, entryAddress(this->options.firstPort, entry, 0), milliseconds(500));
    ClientConnection::Handlers handlers;
    handlers.onHead = [this, entry, number](const HttpHead &head) {
        ++this->checks["CONFIG"];
        if (head.status == 404 && this->isCalm(this->entryFaultAt[entry]))
            this->report("CONFIG", "entry " + std::to_string(entry) + " has no route of version "
                                           + std::to_string(number));
        return true;
    };
    handlers.onData = [](std::string_view) {};
    handlers.onEnd = [connection] {};
    handlers.onFailure = [connection](ClientConnection::Failure) {};
    connection->send(
            "GET /v" + std::to_string(number) + "/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: probe"
                    + std::to_string(this->nextRequest++) + "\r\nDeadline-Ms: 1000\r\n\r\n",
            std::move(handlers));
}

int SoakWorld::run()
{
    this->planFaults();
    this->timers.push_back(this->loop.every(milliseconds(500), [this] { this->probe(); }));
    this->timers.push_back(
            this->loop.every(seconds(3), [this] { this->copy = this->store.copy(); }));
    this->timers.push_back(this->loop.every(milliseconds(100), [this] {
        this->store.tick(this->loop.now());
        for (const auto &worker : this->workers)
            worker->tick();
    }));
    for (std::size_t number = 0; number < this->callers.size(); ++number)
        this->loop.after(milliseconds(20 * number), [this, number] { this->send(number); });
    this->loop.runUntil([] { return false; }, this->options.length);
    for (const std::string &id : this->plain) {
        ++this->checks["TWICE"];
        const auto found = this->runs.find(id);
        const int count =
                (found == this->runs.end() ? 0 : found->second) + (this->options.runsTwice ? 1 : 0);
        if (count > 1)
            this->report("TWICE", id + " ran " + std::to_string(count) + " times");
        if (this->refused.count(id) != 0) {
            ++this->checks["REFUSED"];
            if (count > 0)
                this->report("REFUSED", id + " was refused and ran");
        }
    }
    ++this->checks["RECOVER"];
    if (this->lateSuccesses < MinServed * this->lateRequests || this->lateRequests == 0)
        this->report("RECOVER", std::to_string(this->lateSuccesses) + " of "
                                        + std::to_string(this->lateRequests) + " are served");
    for (const auto &[outcome, count] : this->outcomes)
        std::printf("outcome %s: %d\n", outcome.c_str(), count);
    for (const auto &[promise, count] : this->checks)
        std::printf("checked %s: %d\n", promise.c_str(), count);
    return this->broken;
}

} // namespace Nutmegrill
