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
    /// Requests that it may run.
    double slots = 1;
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
    /// The other ranks of its model group wait for it in each step.
    bool isSlow = false;
    /// Running requests of this entry.
    std::uint32_t runningHere = 0;
};

/// Chooses a lightly loaded backend server for a request; nothing when all slots are taken.
///
/// Entries that all choose the server with the least known load send it everything that arrives
/// until they hear of each other. So \a replacedShare of the requests of the other entries is taken
/// to have ended since they were told, and as many to have been placed so that they level out the
/// loads; a server is chosen at random with a probability that follows what it lacks to that level
/// ("Interpreting Stale Load Information", Dahlin). With loads that are not stale, this is the
/// least loaded server, and ties are broken at random.
///
/// Backend servers with a clearly higher failure share than the others, slow and cold ones and
/// those of a stalled model group are used only when the others are full. Where a service has
/// several model groups, a load counts for more in a group whose steps take longer: there a request
/// waits for more time in each step, and lengthens the steps of more requests for longer.
std::optional<std::string> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        double replacedShare, RandomSource &random);

} // namespace Nutmegrill
