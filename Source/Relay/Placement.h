#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class RandomSource;

/// Properties of a backend server that the placement of a request depends on.
struct PlacementCandidate
{
    std::string id;
    std::uint32_t slots = 1;
    /// Running requests of all entries, as far as known.
    std::uint32_t running = 0;
    /// Smoothed share of failed requests.
    double failureShare = 0;
    bool isCold = false;
    /// Requests that this entry has sent to it since the entry started.
    std::uint64_t sends = 0;
    /// Running and queued requests that it reported in its last answer.
    std::uint32_t reportedLoad = 0;
    /// The backend servers of its model group hold requests and answer none of them.
    bool isStalled = false;
    /// Pauses between events in its model group, relative to their target.
    double pace = 1;
};

/// Chooses the least loaded backend server for a request; nothing when all slots are taken. Ties
/// are broken at random, because several entries place concurrently with reports of each other that
/// are 100 ms old and would otherwise all choose the same one. Backend servers with a clearly
/// higher failure share than the others, cold ones and those of a stalled model group are used only
/// when the others are full. Where a service has several model groups, a load counts for more in a
/// group whose steps take longer: there a request waits for more time in each step, and lengthens
/// the steps of more requests for longer.
std::optional<std::string> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        RandomSource &random);

} // namespace Nutmegrill
