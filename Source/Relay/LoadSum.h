#pragma once

#include "Relay/LoadShare.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Nutmegrill {

struct EntryReport;

/// Running requests by backend server and waiting requests by service, summed over entries.
class LoadSum
{
public:
    void add(const EntryReport &report);
    /// Takes off a report that was added.
    void remove(const EntryReport &report);
    void add(const LoadShare &share);

    std::uint32_t running(std::uint32_t backend) const;
    std::uint32_t running(const std::string &backend) const
    {
        return this->running(LoadShare::hashOf(backend));
    }
    std::uint32_t waiting(const std::string &service) const;

    /// Fills in the sums.
    void describe(LoadShare &share) const;

private:
    /// By hash of the id.
    std::unordered_map<std::uint32_t, std::uint32_t> runningSums;
    std::map<std::string, std::uint32_t> waitingSums;
};

} // namespace Nutmegrill
