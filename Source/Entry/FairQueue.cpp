#include "Entry/FairQueue.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Nutmegrill {

namespace {

// About one small request, so that a light account waits for at most one visit per other account.
constexpr std::uint64_t Quantum = 512;
// Bounds the visits that one request needs to save up for.
constexpr std::uint64_t LargestCost = 64 * 1024;
constexpr std::chrono::milliseconds RateWindow(500);
constexpr double Smoothing = 0.5;

std::uint64_t bounded(std::uint64_t cost)
{
    return std::clamp<std::uint64_t>(cost, 1, LargestCost);
}

} // namespace

FairQueue::Lane &FairQueue::lane(const std::string &account, std::uint32_t weight)
{
    Lane &lane = this->lanes[this->fairShares ? account : std::string()];
    lane.weight = std::max<std::uint32_t>(weight, 1);
    return lane;
}

void FairQueue::push(const std::string &account, std::uint32_t weight, CallerId caller,
                     std::uint64_t cost)
{
    Lane &lane = this->lane(account, weight);
    lane.items.push_back({caller, bounded(cost)});
    lane.cost += bounded(cost);
    this->totalCost += bounded(cost);
    ++this->count;
}

void FairQueue::pushFront(const std::string &account, std::uint32_t weight, CallerId caller,
                          std::uint64_t cost)
{
    Lane &lane = this->lane(account, weight);
    lane.items.push_front({caller, bounded(cost)});
    lane.cost += bounded(cost);
    this->totalCost += bounded(cost);
    ++this->count;
}

void FairQueue::remove(const std::string &account, CallerId caller)
{
    const auto lane = this->lanes.find(this->fairShares ? account : std::string());
    if (lane == this->lanes.end())
        return;
    auto &items = lane->second.items;
    const auto item = std::find_if(items.begin(), items.end(), [caller](const Item &candidate) {
        return candidate.caller == caller;
    });
    if (item == items.end())
        return;
    lane->second.cost -= item->cost;
    this->totalCost -= item->cost;
    if (--this->count == 0)
        this->waitedThroughout = false;
    items.erase(item);
    if (items.empty())
        this->lanes.erase(lane);
}

void FairQueue::advance()
{
    auto next = this->lanes.upper_bound(this->cursor);
    if (next == this->lanes.end())
        next = this->lanes.begin();
    this->cursor = next == this->lanes.end() ? std::string() : next->first;
    this->visited = false;
}

bool FairQueue::serve(Lanes::iterator lane, const std::function<bool(CallerId)> &place)
{
    const Item item = lane->second.items.front();
    if (!place(item.caller))
        return false;
    lane->second.items.pop_front();
    lane->second.cost -= item.cost;
    lane->second.deficit -= std::min(lane->second.deficit, item.cost);
    this->totalCost -= item.cost;
    this->windowCost += item.cost;
    if (--this->count == 0)
        this->waitedThroughout = false;
    if (lane->second.items.empty())
        this->lanes.erase(lane);
    return true;
}

bool FairQueue::take(const std::function<bool(CallerId)> &place)
{
    std::set<std::string> passedOver;
    while (passedOver.size() < this->lanes.size()) {
        const auto lane = this->lanes.find(this->cursor);
        if (lane == this->lanes.end() || passedOver.count(this->cursor) != 0) {
            this->advance();
            continue;
        }
        // A lane that is passed over earns nothing, so that it gets no burst later.
        const std::uint64_t before = lane->second.deficit;
        if (!this->visited)
            lane->second.deficit += Quantum * lane->second.weight;
        this->visited = true;
        if (lane->second.deficit < lane->second.items.front().cost) {
            this->advance();
            continue;
        }
        if (this->serve(lane, place))
            return true;
        lane->second.deficit = before;
        passedOver.insert(lane->first);
        this->advance();
    }
    return false;
}

std::size_t FairQueue::sizeOf(const std::string &account) const
{
    const auto lane = this->lanes.find(this->fairShares ? account : std::string());
    return lane == this->lanes.end() ? 0 : lane->second.items.size();
}

std::chrono::milliseconds FairQueue::expectedWait(const std::string &account, std::uint32_t weight,
                                                  std::uint64_t cost) const
{
    if (this->count == 0 || !this->rateKnown)
        return std::chrono::milliseconds(0);
    double weights = std::max<std::uint32_t>(weight, 1);
    double ahead = static_cast<double>(bounded(cost));
    for (const auto &[name, lane] : this->lanes) {
        if (name == account)
            ahead += static_cast<double>(lane.cost);
        else
            weights += lane.weight;
    }
    const double shared = ahead * weights / std::max<std::uint32_t>(weight, 1);
    const double all = static_cast<double>(this->totalCost + bounded(cost));
    const double seconds = std::min(shared, all) / std::max(this->rate, 1.0);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

void FairQueue::tick(Instant now)
{
    if (now < this->windowEnd)
        return;
    if (this->waitedThroughout) {
        const double seconds = std::chrono::duration<double>(RateWindow).count();
        const double sample = static_cast<double>(this->windowCost) / seconds;
        this->rate = this->rateKnown ? this->rate + Smoothing * (sample - this->rate) : sample;
        this->rateKnown = true;
    }
    this->windowCost = 0;
    this->waitedThroughout = this->count > 0;
    this->windowEnd = now + RateWindow;
}

} // namespace Nutmegrill
