#include "Relay/SlotBudget.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

namespace {

using Seconds = std::chrono::duration<double>;

/// An entry with seven requests a second counts some twenty of them.
constexpr Seconds ArrivalTime{3.0};
/// With more free slots, a service is not limited.
constexpr double UnlimitedFreeShare = 0.2;
/// What is free beyond the flow is used up within a multiple of the age of the loads, because all
/// entries see it free until they hear of each other.
constexpr double AgesToCorrect = 2.0;
constexpr Seconds MinCorrectionTime{0.15};
constexpr Seconds MaxRefillTime{0.2};
/// Part of the flow that requests of each urgency get in any case, so that no kind of request
/// starves; less if they cannot be on time any more.
constexpr double MinShare = 0.12;
constexpr double MinLateShare = 0.03;

} // namespace

double SlotBudget::decayed(const Level &level, Instant now)
{
    return level.arrivalRate * std::exp(-Seconds(now - level.arrivedAt) / ArrivalTime);
}

void SlotBudget::recordArrival(Instant now, std::uint32_t urgency)
{
    Level &level = this->levels[urgency];
    level.arrivalRate = decayed(level, now) + 1 / ArrivalTime.count();
    level.arrivedAt = now;
}

std::vector<std::uint32_t> SlotBudget::urgencies() const
{
    std::vector<std::uint32_t> known;
    for (const auto &[urgency, level] : this->levels)
        known.push_back(urgency);
    return known;
}

void SlotBudget::update(Instant now, const Load &load)
{
    const Seconds elapsed = std::min<Seconds>(now - this->refilledAt, MaxRefillTime);
    this->refilledAt = now;
    const double free = load.limit - load.running;
    this->isLimited = free < UnlimitedFreeShare * load.limit;
    const Seconds correction = std::max(load.age * AgesToCorrect, MinCorrectionTime);
    const double flow = load.running / std::max(load.holdTime.count(), 1e-3);
    double available = std::max(0.0, flow + free / correction.count());
    const auto waitingIn = [](const auto &counts, std::uint32_t urgency) -> double {
        const auto found = counts.find(urgency);
        return found == counts.end() ? 0 : found->second;
    };
    for (const auto &[urgency, count] : load.waitingHere)
        this->levels.try_emplace(urgency);
    for (auto &[urgency, level] : this->levels) {
        const double minShare = urgency < FirstLate ? MinShare : MinLateShare;
        const double here = waitingIn(load.waitingHere, urgency) / correction.count();
        const double all = here + waitingIn(load.waitingElsewhere, urgency) / correction.count();
        const double arrivals = decayed(level, now);
        const double demand = all + arrivals * load.entries;
        const double share = demand > 0 ? (here + arrivals) / demand : 1;
        const double rate = share * std::max(available, minShare * flow);
        level.slots = std::min(level.slots + rate * elapsed.count(),
                               std::max(1.0, rate * correction.count()));
        available -= std::min(available, demand);
    }
}

bool SlotBudget::tryTake(std::uint32_t urgency)
{
    Level &level = this->levels[urgency];
    if (this->isLimited && level.slots < 1)
        return false;
    level.slots = std::max(0.0, level.slots - 1);
    return true;
}

void SlotBudget::putBack(std::uint32_t urgency)
{
    this->levels[urgency].slots += 1;
}

} // namespace Nutmegrill
