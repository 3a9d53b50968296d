#include "Entry/RoutePolicy.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace Nutmegrill {

namespace {

// Length of the body prefix that determines affinity: long enough to tell system prompts apart,
// short enough that requests which differ only at the end go to the same agent.
constexpr std::size_t MaxPrefixBytes = 256;
// Load, relative to the limit, by which the preferred agent may exceed the least loaded one.
// Prefilling a prompt again costs less than waiting behind a quarter of a full batch.
constexpr double MaxAffinityExcessLoad = 0.25;

std::string_view promptPrefix(std::string_view body)
{
    for (const std::string_view name : {"\"messages\"", "\"prompt\""}) {
        if (const std::size_t start = body.find(name); start != std::string_view::npos)
            return body.substr(start, MaxPrefixBytes);
    }
    return body.substr(0, MaxPrefixBytes);
}

class RoundRobinPolicy : public RoutePolicy
{
public:
    const BackendTable::Row *choose(const WorkMessage::Request &, const Candidates &candidates,
                                    RandomSource &) override
    {
        return candidates[this->next++ % candidates.size()];
    }

private:
    std::size_t next = 0;
};

class LeastReportedPolicy : public RoutePolicy
{
public:
    const BackendTable::Row *choose(const WorkMessage::Request &, const Candidates &candidates,
                                    RandomSource &) override
    {
        return *std::min_element(candidates.begin(), candidates.end(),
                                 [](const auto *left, const auto *right) {
                                     return left->status.running < right->status.running;
                                 });
    }
};

class PowerOfTwoPolicy : public RoutePolicy
{
public:
    const BackendTable::Row *choose(const WorkMessage::Request &, const Candidates &candidates,
                                    RandomSource &random) override
    {
        const auto *first = candidates[random.below(candidates.size())];
        const auto *second = candidates[random.below(candidates.size())];
        return second->load() < first->load() ? second : first;
    }
};

/// Prefers the agent of the prompt prefix, or the least loaded one when that agent has much more
/// load.
class PrefixAffinityPolicy : public RoutePolicy
{
public:
    explicit PrefixAffinityPolicy(std::string ownDomain) : ownDomain(std::move(ownDomain)) {}

    const BackendTable::Row *choose(const WorkMessage::Request &request,
                                    const Candidates &candidates, RandomSource &) override
    {
        const BackendTable::Row *least = this->leastLoaded(request, candidates);
        const std::string key = request.service + '\n' + std::string(promptPrefix(request.body));
        const BackendTable::Row *preferred = preferredAgent(key, candidates);
        return preferred->load() > least->load() + MaxAffinityExcessLoad ? least : preferred;
    }

private:
    static const BackendTable::Row *preferredAgent(std::string_view key,
                                                   const Candidates &candidates)
    {
        return *std::max_element(
                candidates.begin(), candidates.end(), [key](const auto *left, const auto *right) {
                    return rendezvousWeight(key, left->agent) < rendezvousWeight(key, right->agent);
                });
    }

    // Ties are broken by the request id, so that not all entries choose the first agent by name.
    const BackendTable::Row *leastLoaded(const WorkMessage::Request &request,
                                         const Candidates &candidates) const
    {
        const auto lessLoaded = [&](const BackendTable::Row *left, const BackendTable::Row *right) {
            if (left->load() != right->load())
                return left->load() < right->load();
            const bool leftOwn = left->failureDomain == this->ownDomain;
            const bool rightOwn = right->failureDomain == this->ownDomain;
            if (leftOwn != rightOwn)
                return leftOwn;
            return rendezvousWeight(request.requestId, left->agent)
                   > rendezvousWeight(request.requestId, right->agent);
        };
        return *std::min_element(candidates.begin(), candidates.end(), lessLoaded);
    }

    std::string ownDomain;
};

} // namespace

std::unique_ptr<RoutePolicy> RoutePolicy::make(EntrySettings::RoutePolicy policy,
                                               const std::string &ownDomain)
{
    switch (policy) {
    case EntrySettings::RoutePolicy::RoundRobin:
        return std::make_unique<RoundRobinPolicy>();
    case EntrySettings::RoutePolicy::LeastReported:
        return std::make_unique<LeastReportedPolicy>();
    case EntrySettings::RoutePolicy::PowerOfTwo:
        return std::make_unique<PowerOfTwoPolicy>();
    case EntrySettings::RoutePolicy::PrefixAffinity:
        break;
    }
    return std::make_unique<PrefixAffinityPolicy>(ownDomain);
}

} // namespace Nutmegrill
