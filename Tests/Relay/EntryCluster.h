#pragma once

#include "Core/RandomSource.h"
#include "PropertyCheck.h"
#include "Relay/PeerPull.h"
#include "Relay/RelayNode.h"
#include "Relay/ReportSchedule.h"
#include "Relay/StoreMirror.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Simulated entries under membership faults: network partitions between them and to the store,
/// restarts with a clock that was set back, and lost, late and duplicated reports. A script chooses
/// the faults. All requests go to two cold backend servers, which reject some of them.
class EntryCluster
{
public:
    /// Rules that tests turn off to show which failure each one prevents.
    struct Switches
    {
        EntryTable::Switches table;
        /// Entries fetch store changes that they lack from each other.
        bool pullsFromPeers = true;
        bool reducesColdRateAfterStart = true;
    };

    explicit EntryCluster(const Switches &switches, std::size_t count = DefaultEntries);
    ~EntryCluster();
    EntryCluster(const EntryCluster &) = delete;
    EntryCluster &operator=(const EntryCluster &) = delete;

    /// Runs the script and then a period without faults. Returns a description of the first
    /// violated property, or an empty string.
    std::string run(ChoiceScript &script);

    /// Entries lose power right after their report of a new configuration. Returns which other
    /// entry does not have that configuration in time.
    std::string runLossAfterReport(const std::set<std::size_t> &lostEntries);

    /// The same for those that watch the store for the failure domain of the first entry.
    std::string runLossOfWatchers();

    /// The store comes back from a copy that lacks configurations and entries. The entries learn of
    /// it at different times: one reads the store, one restarts, late answers of before arrive.
    /// Returns what an entry does not know in time.
    std::string runRestore();

    static constexpr std::size_t DefaultEntries = 5;

private:
    struct Entry
    {
        std::unique_ptr<RelayNode> node;
        StoreMirror mirror;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool reachesStore = true;
        /// What the entry learned by its last read.
        bool noticedStore = true;
        Instant upAt;
        PeerPull pull;
        ReportSchedule reports;
        /// Calls to peers that do not answer, and when they end.
        std::vector<std::pair<Instant, std::string>> silentCalls;
    };
    struct Datagram
    {
        Instant arrival;
        std::size_t to = 0;
        EntryReport report;
    };

    void settle();
    void start(std::size_t entry, std::int64_t clockJump);
    bool isUp(std::size_t entry) const { return this->now >= this->entries[entry].upAt; }
    void injectFault(ChoiceScript &script);
    void step(std::uint32_t requests, bool isLossy);
    void readStore(std::size_t entry);
    void sendReports(std::size_t entry, bool isLossy);
    void pullFromPeer(std::size_t entry);
    void serve(std::size_t entry, std::uint32_t requests);
    void execute(std::size_t entry, RelayNode::Commands &commands);
    void writeConfiguration();
    bool isPartitioned(std::size_t from, std::size_t to) const;
    std::string checkLimits();
    std::string checkConvergence();
    void applyChanges(std::size_t entry, const StoreMirror::Changes &changes);

    Switches switches;
    std::size_t count;
    RandomSource random{1};
    Instant now{std::chrono::seconds(100)};
    std::vector<Entry> entries;
    std::vector<StoreChange> store;
    std::uint64_t revision = 1;
    std::uint64_t generation = 1;
    std::uint64_t version = 0;
    std::set<std::pair<std::size_t, std::size_t>> partitions;
    std::vector<Datagram> inFlight;
    /// Times of the attempts at each backend server in the last second, and of the requests and the
    /// repeats in the last window of the retry limit.
    std::map<std::string, std::deque<Instant>> sends;
    std::deque<Instant> requestTimes;
    std::deque<Instant> repeatTimes;
    std::map<std::size_t, std::map<RelayCommand::CallerId, std::uint32_t>> attemptsOf;
    RelayCommand::CallerId nextCaller = 1;
    std::uint64_t clock = 1'000'000;
};

} // namespace Nutmegrill
