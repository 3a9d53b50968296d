#include "Entry/FairQueue.h"

#include <algorithm>
#include <vector>

namespace Nutmegrill {

namespace {

// Limits how long one request sets its account back behind the others.
constexpr std::uint64_t MaxCost = 64 * 1024;
// Keeps the rounding error of cost / weight small.
constexpr std::uint64_t VirtualScale = 1024;
// Burst allowance of an idle account in tokens per unit of weight. Without it, an account far below
// its share waits whenever two of its requests arrive close together.
constexpr std::uint64_t BurstCost = 2048;
constexpr std::chrono::milliseconds RateWindow(500);
constexpr double Smoothing = 0.5;

std::uint64_t clampCost(std::uint64_t cost)
{
    return std::clamp<std::uint64_t>(cost, 1, MaxCost);
}

} // namespace

FairQueue::Lane &FairQueue::flow(const std::string &account, std::uint32_t weight)
{
    Lane &flow = this->lanes[this->fairShares ? account : std::string()];
    flow.weight = std::max<std::uint32_t>(weight, 1);
    return flow;
}

std::uint64_t FairQueue::virtualCost(const Lane &flow, std::uint64_t cost)
{
    return cost * VirtualScale / flow.weight;
}

std::uint64_t FairQueue::earliestStart() const
{
    return this->virtualTime - std::min(this->virtualTime, BurstCost * VirtualScale);
}

void FairQueue::push(const std::string &account, std::uint32_t weight, CallerId caller,
                     std::uint64_t cost)
{
    Lane &flow = this->flow(account, weight);
    if (flow.items.empty())
        flow.start = std::max(flow.start, this->earliestStart());
    flow.items.push_back({caller, clampCost(cost)});
    flow.cost += clampCost(cost);
    this->totalCost += clampCost(cost);
    ++this->count;
}

void FairQueue::pushFront(const std::string &account, std::uint32_t weight, CallerId caller,
                          std::uint64_t cost)
{
    Lane &flow = this->flow(account, weight);
    // Refunds the cost that was charged when the request was removed.
    flow.start -= std::min(flow.start, virtualCost(flow, clampCost(cost)));
    flow.items.push_front({caller, clampCost(cost)});
    flow.cost += clampCost(cost);
    this->totalCost += clampCost(cost);
    ++this->count;
}

void FairQueue::remove(const std::string &account, CallerId caller)
{
    const auto flow = this->lanes.find(this->fairShares ? account : std::string());
    if (flow == this->lanes.end())
        return;
    auto &items = flow->second.items;
    const auto item = std::find_if(items.begin(), items.end(), [caller](const Item &candidate) {
        return candidate.caller == caller;
    });
    if (item == items.end())
        return;
    flow->second.cost -= item->cost;
    this->totalCost -= item->cost;
    items.erase(item);
    if (--this->count == 0)
        this->rate.waitedThroughout = false;
    if (items.empty())
        flow->second.rate.waitedThroughout = false;
}

void FairQueue::serve(Lane &flow)
{
    const Item item = flow.items.front();
    flow.items.pop_front();
    flow.cost -= item.cost;
    this->virtualTime = std::max(this->virtualTime, flow.start);
    flow.start += virtualCost(flow, item.cost);
    this->totalCost -= item.cost;
    this->rate.windowCost += item.cost;
    flow.rate.windowCost += item.cost;
    if (--this->count == 0)
        this->rate.waitedThroughout = false;
    if (flow.items.empty())
        flow.rate.waitedThroughout = false;
}

bool FairQueue::take(const std::function<bool(CallerId)> &tryStart)
{
    std::vector<Lane *> waiting;
    for (auto &[account, flow] : this->lanes) {
        if (!flow.items.empty())
            waiting.push_back(&flow);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const Lane *left, const Lane *right) {
        return left->start < right->start;
    });
    for (auto flow = waiting.begin(); flow != waiting.end(); ++flow) {
        if (!tryStart((*flow)->items.front().caller))
            continue;
        this->serve(**flow);
        // A flow that is skipped gains no credit, so that it gets no burst later.
        for (auto skipped = waiting.begin(); skipped != flow; ++skipped)
            (*skipped)->start = std::max((*skipped)->start, this->virtualTime);
        return true;
    }
    return false;
}

std::size_t FairQueue::sizeOf(const std::string &account) const
{
    const auto flow = this->lanes.find(this->fairShares ? account : std::string());
    return flow == this->lanes.end() ? 0 : flow->second.items.size();
}

std::chrono::milliseconds FairQueue::expectedWait(const std::string &account, std::uint32_t weight,
                                                  std::uint64_t cost) const
{
    if (this->count == 0 || !this->rate.isKnown)
        return std::chrono::milliseconds(0);
    const std::string own = this->fairShares ? account : std::string();
    const auto timeToServe = [](double ahead, double perSecond) {
        const double seconds = ahead / std::max(perSecond, 1.0);
        return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    };
    // The measured rate of a flow with a lasting backlog accounts for flows that are empty now but
    // take their share from time to time.
    const auto found = this->lanes.find(own);
    if (found != this->lanes.end() && found->second.rate.isKnown
        && found->second.rate.waitedThroughout)
        return timeToServe(static_cast<double>(found->second.cost), found->second.rate.value);
    // An account with an empty flow is served next, so only its own requests are ahead.
    double weights = std::max<std::uint32_t>(weight, 1);
    double ahead = 0;
    for (const auto &[name, flow] : this->lanes) {
        if (flow.items.empty())
            continue;
        if (name == own)
            ahead += static_cast<double>(flow.cost);
        else
            weights += flow.weight;
    }
    const double shared = ahead * weights / std::max<std::uint32_t>(weight, 1);
    const double all = static_cast<double>(this->totalCost + clampCost(cost));
    return timeToServe(std::min(shared, all), this->rate.value);
}

void FairQueue::Rate::close(std::size_t waiting)
{
    if (this->waitedThroughout) {
        const double seconds = std::chrono::duration<double>(RateWindow).count();
        const double sample = static_cast<double>(this->windowCost) / seconds;
        this->value = this->isKnown ? this->value + Smoothing * (sample - this->value) : sample;
        this->isKnown = true;
    }
    this->windowCost = 0;
    this->waitedThroughout = waiting > 0;
}

void FairQueue::tick(Instant now)
{
    if (now < this->windowEnd)
        return;
    std::erase_if(this->lanes, [this](const auto &entry) {
        return entry.second.items.empty() && entry.second.start <= this->earliestStart();
    });
    this->rate.close(this->count);
    for (auto &[account, flow] : this->lanes)
        flow.rate.close(flow.items.size());
    this->windowEnd = now + RateWindow;
}

} // namespace Nutmegrill
