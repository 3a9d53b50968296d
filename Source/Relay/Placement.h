#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class RandomSource;

/// A backend server as the placement of one request sees it.
struct PlacementCandidate
{
    std::string id;
    std::uint32_t slots = 1;
    /// Requests that run there, of all entries as far as known.
    std::uint32_t running = 0;
    /// Smoothed share of requests that failed there.
    double failureShare = 0;
    bool isCold = false;
    /// Requests that this entry has sent there since its start.
    std::uint64_t sends = 0;
    /// Requests that ran and waited there when it last stated its load in an answer.
    std::uint32_t statedLoad = 0;
};

/// Chooses the backend server for a request. Load pattern: several entries place at the same time
/// with reports of each other that are a tenth of a second old. The least loaded one is taken, and
/// equally loaded ones at random, so that the entries do not all choose the same. One that fails
/// clearly more requests than the others, and a cold one, is taken only when the others are full.
std::optional<std::string> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        RandomSource &random);

} // namespace Nutmegrill
