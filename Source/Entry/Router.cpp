#include "Entry/Router.h"

#include <algorithm>

namespace Nutmegrill {

Router::Router(const EntrySettings &settings)
    : switches(settings.switches), random(settings.seed),
      policy(RoutePolicy::make(settings.routePolicy, settings.failureDomain))
{}

bool Router::isUsable(Instant now, const BackendTable::Row &row, const std::string &service,
                      const ConfigurationSpread &spread) const
{
    using State = PeerMessage::BackendStatus::State;
    if (row.service != service || !row.welcomed || row.link != BackendTable::Link::Open)
        return false;
    if (this->switches.domainCheck
        && (spread.isOut(row.failureDomain) || row.status.state == State::Out))
        return false;
    if (this->switches.leavingCheck && (row.listedLeaving || row.status.state == State::Leaving))
        return false;
    if (row.status.state == State::Down)
        return false;
    return !this->switches.credits || row.hasCredit(now);
}

bool Router::hasCredit(Instant now, const std::string &service, const BackendTable &backends,
                       const ConfigurationSpread &spread) const
{
    return std::any_of(backends.all().begin(), backends.all().end(), [&](const auto &entry) {
        return this->isUsable(now, entry.second, service, spread);
    });
}

std::uint64_t Router::projectedKvBytes(const WorkMessage::Request &request,
                                       const ConfigurationSpread &spread)
{
    if (spread.current() == nullptr)
        return 0;
    const ServiceDeclaration *service = spread.current()->findService(request.service);
    return service == nullptr
                   ? 0
                   : (request.promptTokens + request.maxTokens) * service->kvBytesPerToken;
}

BackendTable::Row *Router::choose(Instant now, const RequestTable::Row &request, bool suspect,
                                  BackendTable &backends, const ConfigurationSpread &spread)
{
    const std::uint64_t kvBytes = Router::projectedKvBytes(request.request, spread);
    RoutePolicy::Candidates candidates;
    for (const auto &[agent, row] : backends.all()) {
        const bool fits = !row.kvLimited || kvBytes <= row.kvBytesFree;
        const bool idle = row.status.running == 0 && row.ownRunning == 0;
        if (fits && (idle || !suspect) && this->isUsable(now, row, request.request.service, spread))
            candidates.push_back(&row);
    }
    // The agent of the last failed attempt is used only when there is no other candidate.
    if (candidates.size() > 1)
        std::erase_if(candidates,
                      [&](const auto *row) { return row->agent == request.avoidedAgent; });
    if (candidates.empty())
        return nullptr;
    return backends.find(this->policy->choose(request.request, candidates, this->random)->agent);
}

} // namespace Nutmegrill
