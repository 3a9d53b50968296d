#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace Nutmegrill {

/// This entry's share of the slots of a service, as they become free, by urgency (a lower number is
/// more urgent). Load pattern: a
/// service that is full, and dozens of entries with requests that wait. When each of them takes
/// every slot that it sees free, all take the same ones until they hear of each other: the service
/// is overfilled and then shunned by turns, and urgent requests at one entry wait while less urgent
/// ones at others are placed.
///
/// Every entry computes the same rate at which slots become free, gives it to the waiting requests
/// and arrivals of all entries in the order of their urgencies, and takes its share of each one. A
/// service with many free slots is not limited. Without news of other entries, their load is taken
/// to be that of this one.
class SlotBudget
{
public:
    /// Urgencies from this one on are those of requests that cannot be on time any more.
    static constexpr std::uint32_t FirstLate = 1000;

    /// The service as all entries use it, as far as known.
    struct Load
    {
        /// Requests that it may run, and those that it runs.
        double limit = 0;
        double running = 0;
        std::chrono::duration<double> holdTime{1};
        /// Age of the load of the other entries.
        std::chrono::duration<double> age{0};
        /// Entries, including this one.
        std::uint32_t entries = 1;
        /// Waiting requests by urgency, at this entry and at the others.
        std::map<std::uint32_t, std::uint32_t> waitingHere;
        std::map<std::uint32_t, std::uint32_t> waitingElsewhere;
    };

    void recordArrival(Instant now, std::uint32_t urgency);
    void update(Instant now, const Load &load);
    /// Urgencies of the requests that arrived or waited so far.
    std::vector<std::uint32_t> urgencies() const;
    Instant updatedAt() const { return this->refilledAt; }

    /// Takes a slot for a request. Returns false if this entry has to wait for its next one.
    bool tryTake(std::uint32_t urgency);
    /// Returns a slot that could not be used.
    void putBack(std::uint32_t urgency);

private:
    struct Level
    {
        /// Arrivals a second at this entry; recent ones count for more.
        double arrivalRate = 0;
        Instant arrivedAt;
        /// Slots that this entry may take now.
        double slots = 1;
    };

    static double decayed(const Level &level, Instant now);

    std::map<std::uint32_t, Level> levels;
    Instant refilledAt;
    bool isLimited = false;
};

} // namespace Nutmegrill
