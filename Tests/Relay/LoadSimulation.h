#pragma once

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Relay/RelayNode.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Simulation of callers, relaying entries and backend servers in virtual time. The entries are
/// real RelayNodes; callers, a model group whose ranks step together, and plain backend servers are
/// emulated. The same options give the same result.
class LoadSimulation
{
public:
    enum class Fault {
        LoadSpike,        ///< the arrival rate is multiplied by the factor
        HeavyAccount,     ///< the requests of one client account are multiplied by the factor
        ImmediateRepeats, ///< this share of the callers repeats up to three times without a pause
        EarlyDisconnects, ///< this share of the callers disconnects after 200 ms
        SlowSteps,        ///< the step time of the model group is multiplied by the factor
        GroupStall, ///< the model group stalls after the loss of a rank, then rejects everything
        GroupReforming,          ///< the model group rejects everything
        PlainServersUnreachable, ///< this share of the plain backend servers is unreachable
        PlainServersFlaky, ///< this share of the plain backend servers fails half of its requests
        EntriesRestarted,  ///< this share of the entries stops and is started again after the span
        EntriesCut,        ///< this share of the entries exchanges no reports with the others
        ReportsLost,       ///< this share of the reports is lost
        StoreAway,         ///< nothing is written to the store
        LimitNamed,        ///< a rank and two plain servers name the factor as their limit a second
        CrashingPart,   ///< this share of the streams has a prompt part that crashes the ranks that
                        ///< run it
        ServersLeaving, ///< a rank and two plain servers say in their answers that they leave
        ServersPause, ///< a rank and two plain servers reject everything and ask for a pause of the
                      ///< factor in seconds
        CrashingRequest ///< one request that crashes the plain servers that run it arrives that
                        ///< often a second, from one caller and at any entry
    };

    struct Disruption
    {
        Fault kind;
        std::chrono::milliseconds at{0};
        std::chrono::milliseconds span{0};
        double factor = 1;
    };

    struct Options
    {
        std::uint64_t seed = 1;
        std::uint32_t entries = 6;
        std::size_t ranks = 12;
        std::chrono::milliseconds length{20000};
        /// Factor on all arrival rates.
        double load = 1;
        RelayPolicy policy;
        std::vector<Disruption> disruptions;
    };

    /// Requests by outcome. Requests whose caller disconnected early are not counted.
    struct Tally
    {
        std::uint32_t counted = 0;
        std::uint32_t inTime = 0;
        std::uint32_t late = 0;
        std::uint32_t refused = 0;
        std::uint32_t failed = 0;

        /// A late answer counts half.
        double weightedCount() const { return this->inTime + 0.5 * this->late; }
        double score() const
        {
            return this->counted == 0 ? 1 : this->weightedCount() / this->counted;
        }
        double served() const
        {
            return this->counted == 0 ? 1 : double(this->inTime + this->late) / this->counted;
        }
    };

    struct Result
    {
        Tally all;
        std::map<std::string, Tally> byKind;
        std::map<std::string, Tally> byAccount;
        std::vector<Tally> bySecond;
        /// Lowest score of any two consecutive seconds.
        double worstWindow = 1;
        double worstKind = 1;
        double worstAccount = 1;
        /// Attempts for requests that their caller has repeated.
        std::uint32_t repeats = 0;
        /// When a server crashed, and when a request that crashes servers was sent to one.
        std::vector<Instant> crashes;
        std::vector<Instant> crashingSends;
        /// When such a request reached a server.
        std::vector<Instant> crashingArrivals;
        /// The first named limit that was broken.
        std::string brokenLimit;
        /// The first request to a server that had told the entry that it leaves.
        std::string sentToLeaving;
        /// The first server that got more than two requests from an entry during a pause.
        std::string brokenPause;
        /// Longest time from the sending of a request to its refusal.
        std::chrono::milliseconds longestHold{0};
    };

    explicit LoadSimulation(const Options &options);
    ~LoadSimulation();
    LoadSimulation(const LoadSimulation &) = delete;
    LoadSimulation &operator=(const LoadSimulation &) = delete;

    Result run();

private:
    struct Caller;
    struct Entry;
    struct Work;
    struct Backend;

    using Time = std::chrono::microseconds;
    using Action = std::function<void()>;

    void schedule(Time delay, Action step);
    double factorOf(Fault kind) const;
    void scheduleArrivals();
    void arrive(std::size_t kind);
    void arriveCrashing();
    void begin(Caller caller);
    void send(std::size_t caller);
    void checkIdleTimeout(std::size_t caller, std::uint32_t attempt);
    void disconnect(Caller &caller);
    void retryOrClose(std::size_t caller, std::optional<std::chrono::milliseconds> retryAfter,
                      bool mayHaveRun);
    void close(Caller &caller, std::uint32_t Tally::*outcome);
    void startEntry(std::size_t entry);
    void stopEntry(std::size_t entry);
    bool isCut(std::size_t entry) const;
    void sendReports();
    void execute(std::size_t entry, RelayNode::Commands &commands);
    void startWork(std::size_t entry, const RelayCommand::StartAttempt &start);
    void accept(const Work &work);
    void rejectWork(const Work &work, Time delay);
    void breakWork(const Work &work, AttemptFailure failure);
    void cancel(std::size_t entry, RelayCommand::AttemptId attempt);
    void serve(Backend &backend);
    void stepGroup();
    void abortGroup();
    void check(std::size_t entry, const RelayCommand::CheckBackend &check);
    void storeCrashes(const RelayCommand::StoreCrashes &crashes);
    AnswerHead headOf(Backend &backend, const Work &work, int status);
    void checkLimit(Backend &backend, const Work &work);
    void checkLeaving(Backend &backend, const Work &work);
    void checkPause(Backend &backend, const Work &work);
    void crashServer(Backend &backend);
    void returnServer(Backend &backend);
    void crashPlain(const Work &work);
    Backend *backendOf(const std::string &id);
    Entry *findRunning(std::size_t entry, std::uint32_t start);

    Options options;
    RandomSource random;
    /// Separate, so that prompt parts leave the arrivals of a seed as they are.
    RandomSource partRandom;
    Instant now{std::chrono::seconds(100)};
    std::multimap<Instant, Action> eventQueue;
    std::vector<Caller> callers;
    std::vector<Entry> entries;
    std::vector<Backend> backends;
    /// Crash records in the store, by trait, with their revisions.
    std::map<std::uint64_t, std::pair<CrashReport, std::uint64_t>> storedCrashes;
    std::uint64_t crashRevision = 0;
    bool isGroupRejecting = false;
    bool isGroupStalled = false;
    std::map<std::pair<std::size_t, RelayCommand::CallerId>, std::size_t> byCallerId;
    RelayCommand::CallerId nextCallerId = 1;
    Result result;
};

} // namespace Nutmegrill
