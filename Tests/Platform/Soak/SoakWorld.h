#pragma once

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Http/ClientConnection.h"
#include "Net/EventLoop.h"
#include "Platform/StoreServer.h"
#include "SoakWorker.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The surroundings of real entry processes: store, backend servers, operator and callers on
/// loopback. A plan drawn from the seed injects faults into them and, by lines on the standard
/// output, into the processes. Checks what callers and backend servers see.
class SoakWorld
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t entries = 4;
        std::size_t callers = 24;
        std::chrono::seconds length{30};
        int firstPort = 24000;
        /// Breaks the promise of the backend servers, to show that the checks see it.
        bool runsTwice = false;
    };

    explicit SoakWorld(const Options &options);
    ~SoakWorld();
    SoakWorld(const SoakWorld &) = delete;
    SoakWorld &operator=(const SoakWorld &) = delete;

    /// Returns the number of broken promises.
    int run();

    /// Address of an entry: 0 for callers, 1 readiness, 2 directory, 3 peers, 4 metrics.
    static std::string entryAddress(int firstPort, std::size_t entry, int port);

private:
    struct Caller
    {
        std::size_t entry = 0;
        std::shared_ptr<ClientConnection> connection;
        std::string id;
        std::string path;
        int status = 0;
        std::string body;
    };

    void planFaults();
    void at(std::chrono::milliseconds time, const std::string &what, std::function<void()> action);
    void signal(const char *name, std::size_t entry);
    void writeAll();
    void writeConfiguration();
    void restoreStore();
    void send(std::size_t caller);
    void finish(std::size_t caller, bool isWhole);
    void probe();
    void probeEntry(std::size_t entry, std::uint64_t version);
    bool isCalm(Instant since) const;
    void report(const std::string &promise, const std::string &detail);

    Options options;
    EventLoop loop;
    RandomSource random;
    RandomSource planRandom;
    StoreServer store;
    SoakWorker::Runs runs;
    std::vector<std::unique_ptr<SoakWorker>> workers;
    std::vector<Caller> callers;
    std::vector<std::unique_ptr<EventLoop::Timer>> timers;
    std::shared_ptr<const StoreServer::Copy> copy;
    std::uint64_t version = 0;
    /// The newest one, which the operator writes again after a restore.
    std::string configuration;
    /// Versions that are acknowledged, with the time.
    std::map<std::uint64_t, Instant> acknowledged;
    /// Last fault of each entry process and of the store.
    std::vector<Instant> entryFaultAt;
    Instant storeFaultAt;
    std::set<std::string> refused;
    std::set<std::string> plain;
    std::map<std::string, int> outcomes;
    std::map<std::string, int> checks;
    std::uint64_t nextRequest = 1;
    int lateRequests = 0;
    int lateSuccesses = 0;
    int broken = 0;
};

} // namespace Nutmegrill
