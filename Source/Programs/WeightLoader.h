#pragma once

#include "Net/HttpClient.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Nutmegrill {

class EventLoop;

/// Loads the weights of experts from the weight store sequentially. The store limits the total rate
/// over all its callers, so parallel transfers of one rank would not finish earlier.
class WeightLoader
{
public:
    struct Expert
    {
        std::size_t layer = 0;
        std::uint32_t expert = 0;
    };

    using Done = std::function<void(bool loaded)>;

    /// With an empty address every load succeeds at once.
    WeightLoader(EventLoop &loop, std::string address);

    /// Replaces a load in progress, whose callback is then not called.
    void load(std::vector<Expert> experts, std::uint64_t bytesPerExpert, Done done);

private:
    void loadNext(std::uint64_t loadId);

    EventLoop &loop;
    std::string address;
    HttpClient http;
    std::vector<Expert> remainingExperts;
    std::uint64_t bytesPerExpert = 0;
    Done done;
    std::uint64_t currentLoadId = 0;
    unsigned consecutiveFailures = 0;
};

} // namespace Nutmegrill
