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
class LoadWorld
{
public:
    enum class Trouble {
        Crowd,            ///< the arrival rate is multiplied by the factor
        HeavyAccount,     ///< the requests of one client account are multiplied by the factor
        ImpatientCallers, ///< this share of the callers repeats up to three times without a pause
        EarlyLeavers,     ///< this share of the callers disconnects after 200 ms
        SlowSteps,        ///< the step time of the model group is multiplied by the factor
        GroupStall,   ///< the model group stalls after the loss of a rank, then rejects everything
        GroupForming, ///< the model group rejects everything
        PlainServersGone, ///< this share of the plain backend servers is unreachable
        GreyPlainServers, ///< this share of the plain backend servers fails half of its requests
        EntriesRestarted  ///< this share of the entries stops and is started again after the span
    };

    struct Disruption
    {
        Trouble kind;
        std::chrono::milliseconds at{0};
        std::chrono::milliseconds span{0};
        double factor = 1;
    };

    struct Options
    {
        std::uint64_t seed = 1;
        std::uint32_t entries = 6;
        std::chrono::milliseconds length{20000};
        /// Factor on all arrival rates.
        double load = 1;
        RelayPolicy policy;
        std::vector<Disruption> disruptions;
    };

    /// Requests by outcome. Requests whose caller disconnected early are not counted.
    struct Tally
    {
        std::uint32_t owed = 0;
        std::uint32_t inTime = 0;
        std::uint32_t late = 0;
        std::uint32_t refused = 0;
        std::uint32_t failed = 0;

        /// A late answer counts half.
        double credit() const { return this->inTime + 0.5 * this->late; }
        double worth() const { return this->owed == 0 ? 1 : this->credit() / this->owed; }
        double served() const
        {
            return this->owed == 0 ? 1 : double(this->inTime + this->late) / this->owed;
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
        /// Longest time from the sending of a request to its refusal.
        std::chrono::milliseconds longestHold{0};
    };

    explicit LoadWorld(const Options &options);
    ~LoadWorld();
    LoadWorld(const LoadWorld &) = delete;
    LoadWorld &operator=(const LoadWorld &) = delete;

    Result run();

private:
    struct Caller;
    struct Entry;
    struct Work;
    struct Backend;

    using Time = std::chrono::microseconds;
    using Step = std::function<void()>;

    void after(Time delay, Step step);
    double factorOf(Trouble kind) const;
    void scheduleArrivals();
    void arrive(std::size_t kind);
    void send(std::size_t caller);
    void checkPatience(std::size_t caller, std::uint32_t attempt);
    void leave(Caller &caller);
    void comeBack(std::size_t caller, std::optional<std::chrono::milliseconds> retryAfter,
                  bool mayHaveRun);
    void close(Caller &caller, std::uint32_t Tally::*outcome);
    void startEntry(std::size_t entry);
    void stopEntry(std::size_t entry);
    void report();
    void carryOut(std::size_t entry, RelayNode::Orders &commands);
    void startWork(std::size_t entry, const RelayOrder::StartAttempt &start);
    void accept(const Work &work);
    void rejectWork(const Work &work, Time delay);
    void breakWork(const Work &work, AttemptFailure failure);
    void cancel(std::size_t entry, RelayOrder::AttemptId attempt);
    void serve(Backend &backend);
    void step();
    void stall();
    Backend *backendOf(const std::string &id);
    Entry *live(std::size_t entry, std::uint32_t start);

    Options options;
    RandomSource random;
    Instant now{std::chrono::seconds(100)};
    std::multimap<Instant, Step> agenda;
    std::vector<Caller> callers;
    std::vector<Entry> entries;
    std::vector<Backend> backends;
    bool groupCut = false;
    bool groupStalled = false;
    std::map<std::pair<std::size_t, RelayOrder::CallerId>, std::size_t> byCallerId;
    RelayOrder::CallerId nextCallerId = 1;
    Result result;
};

} // namespace Nutmegrill
