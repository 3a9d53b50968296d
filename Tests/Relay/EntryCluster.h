#pragma once

#include "Core/RandomSource.h"
#include "PropertyCheck.h"
#include "Relay/RelayNode.h"
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

/// Entries whose membership is in doubt: cuts between them and to the store, restarts with clocks
/// that have jumped, lost, late and repeated reports. A script chooses what happens. All requests
/// go to two cold backend servers, which reject some of them.
class EntryCluster
{
public:
    /// Parts that tests turn off to show what each one prevents.
    struct Switches
    {
        EntryTable::Switches table;
        /// Entries ask each other for what the store did not tell them.
        bool pullsFromPeers = true;
        bool sparesColdAfterStart = true;
    };

    explicit EntryCluster(const Switches &switches);
    ~EntryCluster();
    EntryCluster(const EntryCluster &) = delete;
    EntryCluster &operator=(const EntryCluster &) = delete;

    /// Plays the script and then a calm time. Returns the first property that does not hold, or an
    /// empty text.
    std::string run(ChoiceScript &script);

    static constexpr std::size_t Entries = 5;

private:
    struct Entry
    {
        std::unique_ptr<RelayNode> node;
        StoreMirror mirror;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool reachesStore = true;
        Instant upAt;
    };
    struct Datagram
    {
        Instant arrival;
        std::size_t to = 0;
        EntryReport report;
    };

    void start(std::size_t entry, std::int64_t clockJump);
    bool isUp(std::size_t entry) const { return this->now >= this->entries[entry].upAt; }
    void disturb(ChoiceScript &script);
    void step(std::uint32_t requests, bool isLossy);
    void readStore(std::size_t entry);
    void tellPeers(std::size_t entry, bool isLossy);
    void pull(std::size_t entry);
    void serve(std::size_t entry, std::uint32_t requests);
    void carryOut(std::size_t entry, RelayNode::Orders &orders);
    void writeConfiguration();
    bool isCut(std::size_t from, std::size_t to) const;
    std::string checkLimits();
    std::string checkCalm();

    Switches switches;
    RandomSource random{1};
    Instant now{std::chrono::seconds(100)};
    std::vector<Entry> entries;
    std::vector<StoreChange> store;
    std::uint64_t revision = 1;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<Datagram> underWay;
    /// Sends to each backend server in the last second, and in the last window of the retry limit
    /// the first sends and the repeats of the service.
    std::map<std::string, std::deque<Instant>> sends;
    std::deque<Instant> requestTimes;
    std::deque<Instant> repeatTimes;
    std::map<std::size_t, std::map<RelayOrder::CallerId, std::uint32_t>> attemptsOf;
    RelayOrder::CallerId nextCaller = 1;
    std::uint64_t clock = 1'000'000;
};

} // namespace Nutmegrill
