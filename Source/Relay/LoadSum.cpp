#include "Relay/LoadSum.h"

#include "Core/Hash.h"
#include "Relay/EntryReport.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

/// Takes \a count off a sum and drops the sum when nothing is left.
template <typename Sums, typename Key>
void takeOff(Sums &sums, const Key &key, std::uint32_t count)
{
    const auto found = sums.find(key);
    if (found == sums.end())
        return;
    found->second -= std::min(found->second, count);
    if (found->second == 0)
        sums.erase(found);
}

} // namespace

std::uint32_t LoadShare::hashOf(const std::string &backend)
{
    return static_cast<std::uint32_t>(hash64(backend));
}

void LoadSum::add(const EntryReport &report)
{
    for (const auto &[backend, count] : report.running)
        this->runningSums[LoadShare::hashOf(backend)] += count;
    for (const auto &[service, count] : report.waiting)
        this->waitingSums[service] += count;
}

void LoadSum::remove(const EntryReport &report)
{
    for (const auto &[backend, count] : report.running)
        takeOff(this->runningSums, LoadShare::hashOf(backend), count);
    for (const auto &[service, count] : report.waiting)
        takeOff(this->waitingSums, service, count);
}

void LoadSum::add(const LoadShare &share)
{
    for (const auto &[backend, requests] : share.running)
        this->runningSums[backend] += requests;
    for (const auto &[service, count] : share.waiting)
        this->waitingSums[service] += count;
}

std::uint32_t LoadSum::running(std::uint32_t backend) const
{
    const auto found = this->runningSums.find(backend);
    return found == this->runningSums.end() ? 0 : found->second;
}

std::uint32_t LoadSum::waiting(const std::string &service) const
{
    const auto found = this->waitingSums.find(service);
    return found == this->waitingSums.end() ? 0 : found->second;
}

void LoadSum::describe(LoadShare &share) const
{
    share.running.clear();
    for (const auto &[backend, requests] : this->runningSums)
        share.running.push_back({backend, requests});
    std::sort(share.running.begin(), share.running.end(),
              [](const auto &left, const auto &right) { return left.backend < right.backend; });
    share.waiting = this->waitingSums;
}

} // namespace Nutmegrill
