#pragma once

#include "Core/RandomSource.h"
#include "Duties/DutyLease.h"
#include "Duties/UsageCounts.h"
#include "Duties/UsageReporter.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Some entries with one duty, their store and the receiver of the reports, in virtual time. Checks
/// what the receiver sees. The store loses answers, is away, applies writes late and ends leases;
/// entries are paused, cut off and started again.
class DutyWorld
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t entries = 4;
        std::chrono::seconds length{60};
        bool hasFaults = true;
        /// Probability in each step of a planned stop of the holder, which gives the duty back.
        double plannedStops = 0;
        DutyLease::Times times;
    };

    explicit DutyWorld(const Options &options);
    ~DutyWorld();

    /// Returns the first broken promise; empty if there is none.
    std::string run();

    std::size_t reports() const { return this->reported.size(); }

private:
    using Time = std::chrono::milliseconds;
    struct Entry;
    struct Lock
    {
        std::string owner;
        std::uint64_t lease = 0;
    };

    void step();
    void injectFault();
    void stopHolder();
    void start(std::size_t index);
    void tickEntry(Entry &entry);
    void callStore(Entry &entry, const DutyCommand::Any &command);
    /// Carries out a call to the store; without an answer, the caller has been told already.
    void apply(std::uint64_t caller, std::size_t index, const DutyCommand::Any &command,
               bool isAnswered);
    void later(Time delay, std::function<void()> action);
    void receive(std::size_t machine, const UsageReport &report);
    void fail(const std::string &what);
    Instant instant() const { return Instant(this->now); }
    UsageCounts::WallTime wall() const;

    Options options;
    RandomSource random;
    Time now{100000};
    std::multimap<Time, std::function<void()>> events;
    std::vector<std::unique_ptr<Entry>> entries;
    std::uint64_t nextStart = 1;
    // The store.
    std::optional<Lock> lock;
    std::map<std::uint64_t, Time> leases;
    std::uint64_t nextLease = 1;
    DutyRecord record;
    std::uint64_t revision = 0;
    std::uint64_t recordRevision = 0;
    Time storeAwayUntil{0};
    // The receiver.
    struct Act
    {
        Time at{0};
        std::size_t machine = 0;
    };
    std::deque<Act> acts;
    std::uint64_t highestToken = 0;
    std::map<std::uint64_t, std::size_t> machineOfToken;
    std::map<std::uint64_t, AccountCounts> reported;
    std::string broken;
};

} // namespace Nutmegrill
