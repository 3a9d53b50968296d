#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Load that an entry adds to the backend servers, or the sum of such loads. Sums are told between
/// entries in place of one report from each entry to each other one.
struct LoadShare
{
    enum class Scope {
        Entry,  ///< of the sender
        Domain, ///< of the entries of the sender's failure domain
        Fleet   ///< of all entries
    };

    struct Running
    {
        /// Hash of the id of the backend server.
        std::uint32_t backend = 0;
        std::uint32_t requests = 0;

        bool operator==(const Running &) const = default;
    };

    Scope scope = Scope::Entry;
    /// Peer address and failure domain of the sender.
    std::string sender;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The sender wants the sum of the fleet from the receiver.
    bool wantsFleet = false;
    /// Running requests, in the order of the hashes.
    std::vector<Running> running;
    /// Waiting requests by service.
    std::map<std::string, std::uint32_t> waiting;

    static std::uint32_t hashOf(const std::string &backend);
};

} // namespace Nutmegrill
