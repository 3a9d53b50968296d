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
};

/// Chooses the least loaded backend server for a request; nothing when all slots are taken. Ties
/// are broken at random, because several entries place concurrently with reports of each other that
/// are 100 ms old and would otherwise all choose the same one. Backend servers with a clearly
/// higher failure share than the others, and cold ones, are used only when the others are full.
std::optional<std::string> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        RandomSource &random);

} // namespace Nutmegrill
