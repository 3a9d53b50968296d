#include "Core/RandomSource.h"
#include "Relay/Placement.h"
#include "Relay/SlotBudget.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

constexpr std::size_t Entries = 39;
constexpr std::size_t Servers = 63;
constexpr std::uint32_t Slots = 10;
constexpr double HoldMs = 1850;
/// Age of the loads that entries tell each other.
constexpr int LagMs = 200;
constexpr int StepMs = 5;
constexpr int LengthMs = 20000;
/// An urgent request is on time if it is placed within this time.
constexpr int UrgentWaitMs = 150;

/// Many entries that place requests of two priorities on the same servers.
class Fleet
{
public:
    bool knowsStaleness = true;
    bool hasBudget = true;
    std::array<double, 2> arrivalsPerSecond{235, 0};

    void run()
    {
        this->here.assign(Entries, std::vector<std::uint32_t>(Servers, 0));
        this->waiting.assign(Entries, {});
        this->budgets.assign(Entries, SlotBudget());
        for (this->now = 0; this->now < LengthMs; this->now += StepMs) {
            this->arrive();
            this->endRequests();
            this->snapshots.push_back({this->totals(), this->waitingCounts()});
            if (this->snapshots.size() > LagMs / StepMs)
                this->snapshots.pop_front();
            for (std::size_t entry = 0; entry < Entries; ++entry)
                this->place(entry);
        }
    }

    double overfullShare() const { return double(this->overfull) / this->placed; }
    /// Of the requests of a priority that arrived, those placed in time.
    double inTimeShare(std::size_t priority) const
    {
        return this->inTime[priority] / std::max(1.0, this->arrived[priority]);
    }
    double placedShare(std::size_t priority) const
    {
        return this->placedOf[priority] / std::max(1.0, this->arrived[priority]);
    }

private:
    struct Snapshot
    {
        std::vector<std::uint32_t> running;
        std::vector<std::array<std::uint32_t, 2>> waiting;
    };
    struct Running
    {
        std::size_t entry;
        std::size_t server;
    };

    Instant instant() const { return Instant(std::chrono::milliseconds(this->now)); }

    void arrive()
    {
        for (std::uint32_t priority = 0; priority < 2; ++priority) {
            const double expected = this->arrivalsPerSecond[priority] * StepMs / 1000;
            const int count = int(expected) + (this->random.unit() < expected - int(expected));
            for (int number = 0; number < count; ++number) {
                const std::size_t entry = this->random.below(Entries);
                this->waiting[entry][priority].push_back(this->now);
                this->budgets[entry].recordArrival(this->instant(), priority);
                this->arrived[priority] += 1;
            }
        }
    }

    void endRequests()
    {
        while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
            --this->here[this->ends.begin()->second.entry][this->ends.begin()->second.server];
            this->ends.erase(this->ends.begin());
        }
        // Callers give up after two seconds.
        for (auto &queues : this->waiting) {
            for (auto &queue : queues) {
                while (!queue.empty() && queue.front() + 2000 < this->now)
                    queue.pop_front();
            }
        }
    }

    std::vector<std::uint32_t> totals() const
    {
        std::vector<std::uint32_t> sums(Servers, 0);
        for (const auto &row : this->here) {
            for (std::size_t server = 0; server < Servers; ++server)
                sums[server] += row[server];
        }
        return sums;
    }

    std::vector<std::array<std::uint32_t, 2>> waitingCounts() const
    {
        std::vector<std::array<std::uint32_t, 2>> counts;
        for (const auto &queues : this->waiting)
            counts.push_back({std::uint32_t(queues[0].size()), std::uint32_t(queues[1].size())});
        return counts;
    }

    void updateBudget(std::size_t entry)
    {
        SlotBudget::Load load;
        load.limit = Servers * Slots * 0.85;
        for (const std::uint32_t running : this->snapshots.front().running)
            load.running += running;
        load.holdTime = std::chrono::duration<double>(HoldMs / 1000);
        load.age = std::chrono::duration<double>(LagMs / 1000.0);
        load.entries = Entries;
        for (std::uint32_t priority = 0; priority < 2; ++priority) {
            load.waitingHere[priority] = std::uint32_t(this->waiting[entry][priority].size());
            for (std::size_t other = 0; other < Entries; ++other) {
                if (other != entry)
                    load.waitingElsewhere[priority] +=
                            this->snapshots.front().waiting[other][priority];
            }
        }
        this->budgets[entry].update(this->instant(), load);
    }

    void place(std::size_t entry)
    {
        this->updateBudget(entry);
        for (std::uint32_t priority = 0; priority < 2; ++priority) {
            auto &queue = this->waiting[entry][priority];
            while (!queue.empty()) {
                if (this->hasBudget && !this->budgets[entry].tryTake(priority))
                    break;
                const auto chosen = this->choose(entry);
                if (!chosen) {
                    this->budgets[entry].putBack(priority);
                    break;
                }
                this->send(entry, std::stoul(*chosen), priority, this->now - queue.front());
                queue.pop_front();
            }
        }
    }

    std::optional<std::string> choose(std::size_t entry)
    {
        std::vector<PlacementCandidate> candidates;
        const auto &known = this->snapshots.front().running;
        for (std::size_t server = 0; server < Servers; ++server) {
            PlacementCandidate candidate;
            candidate.id = std::to_string(server);
            candidate.slots = Slots;
            candidate.runningHere = this->here[entry][server];
            candidate.running = std::max(known[server], candidate.runningHere);
            candidates.push_back(candidate);
        }
        return placeRequest(candidates, this->knowsStaleness ? LagMs / (LagMs + HoldMs) : 0,
                            this->random);
    }

    void send(std::size_t entry, std::size_t server, std::uint32_t priority, int waited)
    {
        const std::uint32_t running = this->totals()[server];
        ++this->here[entry][server];
        this->ends.emplace(this->now + int(HoldMs * (0.5 + this->random.unit())),
                           Running{entry, server});
        ++this->placed;
        this->overfull += running >= Slots;
        this->placedOf[priority] += 1;
        this->inTime[priority] += waited <= UrgentWaitMs;
    }

    RandomSource random{7};
    int now = 0;
    std::vector<std::vector<std::uint32_t>> here;
    std::vector<std::array<std::deque<int>, 2>> waiting;
    std::vector<SlotBudget> budgets;
    std::deque<Snapshot> snapshots;
    std::multimap<int, Running> ends;
    std::uint32_t placed = 0;
    std::uint32_t overfull = 0;
    std::array<double, 2> arrived{};
    std::array<double, 2> placedOf{};
    std::array<double, 2> inTime{};
};

} // namespace

/// Dozens of entries that place requests on the same backend servers by loads that are a fifth of a
/// second old.
class FleetPlacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetPlacingTest);
    CPPUNIT_TEST(staleLoadsDoNotOverfillServers);
    CPPUNIT_TEST(urgentRequestsAreNotHeldUpByABurstOfOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entries that all send to the server which was least loaded a while ago: one
    // request in four went to a server that was full, and waited there for most of a second.
    void staleLoadsDoNotOverfillServers()
    {
        Fleet fleet;
        fleet.hasBudget = false;
        Fleet unaware = fleet;
        unaware.knowsStaleness = false;
        fleet.run();
        unaware.run();
        CPPUNIT_ASSERT(fleet.overfullShare() < 0.05);
        CPPUNIT_ASSERT(unaware.overfullShare() > 0.15);
    }

    // Guards against urgent requests that wait at one entry while less urgent ones are placed by
    // others. The less urgent ones must not starve.
    void urgentRequestsAreNotHeldUpByABurstOfOthers()
    {
        Fleet fleet;
        fleet.arrivalsPerSecond = {154, 200};
        Fleet without = fleet;
        without.hasBudget = false;
        fleet.run();
        without.run();
        CPPUNIT_ASSERT(fleet.inTimeShare(0) > 0.85);
        CPPUNIT_ASSERT(without.inTimeShare(0) < fleet.inTimeShare(0) - 0.1);
        CPPUNIT_ASSERT(fleet.placedShare(1) > 0.25 * fleet.placedShare(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPlacingTest);

} // namespace Nutmegrill
