#include "Config/ConfigurationChange.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Nutmegrill {

namespace {

using Verdict = ConfigurationChange::Verdict;

constexpr std::uint64_t MaxEpoch = std::numeric_limits<std::uint64_t>::max();

Verdict change(const ConfigurationChange::Apply &apply, Configuration &next)
{
    const Configuration stored = next;
    next.places = apply.declared.places;
    next.services = apply.declared.services;
    next.modelGroups = apply.declared.modelGroups;
    next.clientAccounts = apply.declared.clientAccounts;
    next.routes = apply.declared.routes;
    // Applying edited declarations must not bring back a failure domain that operators took out.
    for (Place &place : next.places) {
        for (FailureDomainState &domain : place.failureDomains) {
            if (const FailureDomainState *known = stored.findFailureDomain(domain.name))
                domain = *known;
        }
    }
    return next == stored ? Verdict::Unchanged : Verdict::Changed;
}

FailureDomainState *findDomain(Configuration &configuration, const std::string &name)
{
    for (Place &place : configuration.places) {
        for (FailureDomainState &domain : place.failureDomains) {
            if (domain.name == name)
                return &domain;
        }
    }
    return nullptr;
}

Verdict change(const ConfigurationChange::TakeOut &takeOut, Configuration &next)
{
    FailureDomainState *domain = findDomain(next, takeOut.failureDomain);
    if (domain == nullptr)
        return Verdict::UnknownFailureDomain;
    if (domain->out)
        return Verdict::Unchanged;
    if (domain->epoch == MaxEpoch)
        return Verdict::EpochExhausted;
    domain->out = true;
    ++domain->epoch;
    return Verdict::Changed;
}

Verdict change(const ConfigurationChange::BringBack &bringBack, Configuration &next)
{
    FailureDomainState *domain = findDomain(next, bringBack.failureDomain);
    if (domain == nullptr)
        return Verdict::UnknownFailureDomain;
    if (!domain->out && bringBack.pendingEpoch <= domain->epoch)
        return Verdict::Unchanged;
    const std::uint64_t highest = std::max(domain->epoch, bringBack.pendingEpoch);
    if (highest == MaxEpoch)
        return Verdict::EpochExhausted;
    domain->out = false;
    domain->epoch = highest + 1;
    return Verdict::Changed;
}

Verdict change(const ConfigurationChange::MergeTakeOut &merge, Configuration &next)
{
    FailureDomainState *domain = findDomain(next, merge.failureDomain);
    if (domain == nullptr)
        return Verdict::UnknownFailureDomain;
    if (merge.epoch <= domain->epoch)
        return Verdict::Unchanged;
    domain->out = true;
    domain->epoch = merge.epoch;
    return Verdict::Changed;
}

} // namespace

ConfigurationChange::Outcome ConfigurationChange::applyTo(const Configuration &stored) const
{
    Outcome outcome;
    outcome.configuration = stored;
    outcome.verdict = std::visit(
            [&outcome](const auto &wanted) { return change(wanted, outcome.configuration); },
            this->action);
    if (outcome.verdict == Verdict::Changed) {
        ++outcome.configuration.version;
        outcome.configuration.changeId = this->changeId;
        outcome.configuration.author = this->author;
    }
    return outcome;
}

} // namespace Nutmegrill
