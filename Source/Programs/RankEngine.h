#pragma once

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Sends commands to the engine of one rank. The caller must wait for each answer before it sends
/// the next command: each call uses its own connection, so concurrent commands may arrive in any
/// order.
class RankEngine
{
public:
    struct State
    {
        /// The next step of the group; it has not started.
        std::uint64_t step = 0;
        /// Epoch of the map for that step; 0 when the engine has no map.
        std::uint64_t epoch = 0;
        /// First step that may not start; 0 when the rank is not held.
        std::uint64_t holdAt = 0;
        /// Highest fencing token that the engine has received.
        std::uint64_t fence = 0;
    };

    using ReadDone = std::function<void(const std::optional<State> &state)>;
    using CommandDone = std::function<void(bool accepted)>;

    /// Tokens per step of each expert in each layer, as counted by the rank; nullopt when the
    /// engine did not answer.
    using Tokens = std::vector<std::vector<double>>;
    using LoadDone = std::function<void(const std::optional<Tokens> &tokens)>;

    RankEngine(EventLoop &loop, std::string address, std::uint32_t rank);

    void read(const ReadDone &done);
    void readLoad(const LoadDone &done);

    /// Prevents the start of \a step and later steps; 0 releases the rank.
    void hold(std::uint64_t step, std::uint64_t fence, const CommandDone &done);

    /// Runs \a fromStep and all later steps with this map.
    void useMap(std::uint64_t epoch, std::uint64_t fromStep, std::uint64_t fence,
                const CommandDone &done);

    /// Continues at \a step and skips all earlier steps.
    void skipTo(std::uint64_t step, std::uint64_t fence, const CommandDone &done);

private:
    void sendCommand(const std::string &action, const std::string &body, const CommandDone &done);

    std::string address;
    std::string path;
    HttpClient http;
};

} // namespace Nutmegrill
