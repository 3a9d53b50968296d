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

FairQueue::Flow &FairQueue::flowFor(const std::string &account, std::uint32_t weight)
{
    Flow &flow = this->flows[this->fairShares ? account : std::string()];
    flow.weight = std::max<std::uint32_t>(weight, 1);
    return flow;
}

std::uint64_t FairQueue::virtualCost(const Flow &flow, std::uint64_t cost)
{
    return cost * VirtualScale / flow.weight;
}

std::uint64_t FairQueue::minVirtualStart() const
{
    return this->virtualTime - std::min(this->virtualTime, BurstCost * VirtualScale);
}

void FairQueue::push(const std::string &account, std::uint32_t weight, CallerId caller,
                     std::uint64_t cost)
{
    Flow &flow = this->flowFor(account, weight);
    if (flow.items.empty())
        flow.startTag = std::max(flow.startTag, this->minVirtualStart());
    flow.items.push_back({caller, clampCost(cost)});
    flow.cost += clampCost(cost);
    this->totalCost += clampCost(cost);
    ++this->count;
}

void FairQueue::pushFront(const std::string &account, std::uint32_t weight, CallerId caller,
                          std::uint64_t cost)
{
    Flow &flow = this->flowFor(account, weight);
    // Refunds the cost that was charged when the request was removed.
    flow.startTag -= std::min(flow.startTag, virtualCost(flow, clampCost(cost)));
    flow.items.push_front({caller, clampCost(cost)});
    flow.cost += clampCost(cost);
    this->totalCost += clampCost(cost);
    ++this->count;
}

void FairQueue::remove(const std::string &account, CallerId caller)
{
    const auto flow = this->flows.find(this->fairShares ? account : std::string());
    if (flow == this->flows.end())
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
        this->rate.backloggedThroughout = false;
    if (items.empty())
        flow->second.rate.backloggedThroughout = false;
}

void FairQueue::dequeue(Flow &flow)
{
    const Item item = flow.items.front();
    flow.items.pop_front();
    flow.cost -= item.cost;
    this->virtualTime = std::max(this->virtualTime, flow.startTag);
    flow.startTag += virtualCost(flow, item.cost);
    this->totalCost -= item.cost;
    this->rate.windowCost += item.cost;
    flow.rate.windowCost += item.cost;
    if (--this->count == 0)
        this->rate.backloggedThroughout = false;
    if (flow.items.empty())
        flow.rate.backloggedThroughout = false;
}

bool FairQueue::startNext(const std::function<bool(CallerId)> &tryStart)
{
    std::vector<Flow *> waiting;
    for (auto &[account, flow] : this->flows) {
        if (!flow.items.empty())
            waiting.push_back(&flow);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const Flow *left, const Flow *right) {
        return left->startTag < right->startTag;
    });
    for (auto flow = waiting.begin(); flow != waiting.end(); ++flow) {
        if (!tryStart((*flow)->items.front().caller))
            continue;
        this->dequeue(**flow);
        // A flow that is skipped gains no credit, so that it gets no burst later.
        for (auto skipped = waiting.begin(); skipped != flow; ++skipped)
            (*skipped)->startTag = std::max((*skipped)->startTag, this->virtualTime);
        return true;
    }
    return false;
}

std::size_t FairQueue::sizeOf(const std::string &account) const
{
    const auto flow = this->flows.find(this->fairShares ? account : std::string());
    return flow == this->flows.end() ? 0 : flow->second.items.size();
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
    const auto found = this->flows.find(own);
    if (found != this->flows.end() && found->second.rate.isKnown
        && found->second.rate.backloggedThroughout)
        return timeToServe(static_cast<double>(found->second.cost), found->second.rate.value);
    // An account with an empty flow is served next, so only its own requests are ahead.
    double weights = std::max<std::uint32_t>(weight, 1);
    double ahead = 0;
    for (const auto &[name, flow] : this->flows) {
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

void FairQueue::Rate::endWindow(std::size_t waiting)
{
    if (this->backloggedThroughout) {
        const double seconds = std::chrono::duration<double>(RateWindow).count();
        const double sample = static_cast<double>(this->windowCost) / seconds;
        this->value = this->isKnown ? this->value + Smoothing * (sample - this->value) : sample;
        this->isKnown = true;
    }
    this->windowCost = 0;
    this->backloggedThroughout = waiting > 0;
}

void FairQueue::tick(Instant now)
{
    if (now < this->windowEnd)
        return;
    std::erase_if(this->flows, [this](const auto &entry) {
        return entry.second.items.empty() && entry.second.startTag <= this->minVirtualStart();
    });
    this->rate.endWindow(this->count);
    for (auto &[account, flow] : this->flows)
        flow.rate.endWindow(flow.items.size());
    this->windowEnd = now + RateWindow;
}

} // namespace Nutmegrill
