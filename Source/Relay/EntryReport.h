#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// What an entry tells the other entries about itself several times a second.
struct EntryReport
{
    std::string name;
    /// Differs between two starts; a higher one replaces a lower one.
    std::uint64_t incarnation = 0;
    /// Rises with each report of one incarnation, so that late datagrams are recognized.
    std::uint64_t sequence = 0;
    std::string failureDomain;
    /// Where callers connect.
    std::string callerAddress;
    /// Where entries connect (TCP and UDP).
    std::string peerAddress;
    /// Takes callers: it has a configuration and is not stopping.
    bool isServing = false;
    /// A planned stop has begun.
    bool isLeaving = false;
    /// Store revision up to which this entry knows every change.
    std::uint64_t knownRevision = 0;
    /// Requests that this entry runs, by id of the backend server.
    std::map<std::string, std::uint32_t> running;
    /// Requests that wait here, by service.
    std::map<std::string, std::uint32_t> waiting;
};

} // namespace Nutmegrill
