#pragma once

#include "Relay/RelayNode.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A RelayNode configured with one model service and one plain service, and helpers that drive it
/// and inspect its commands.
class RelayNodeHarness
{
public:
    explicit RelayNodeHarness(std::uint32_t modelServers = 3, std::uint32_t plainServers = 2);

    /// Lets a request arrive and returns its caller id.
    RelayCommand::CallerId arrive(const std::string &path, const std::string &key = "key-1",
                                  std::optional<std::uint64_t> lastEvent = std::nullopt);

    /// Latest attempt for a caller; null when there is none.
    const RelayCommand::StartAttempt *attemptOf(RelayCommand::CallerId caller) const;
    const RelayCommand::Refuse *refusalOf(RelayCommand::CallerId caller) const;
    std::size_t attemptsOf(RelayCommand::CallerId caller) const;

    template <typename Command>
    std::size_t count() const
    {
        std::size_t number = 0;
        for (const auto &command : this->commands)
            number += std::holds_alternative<Command>(command) ? 1 : 0;
        return number;
    }

    /// Head of the answer to the caller's latest attempt.
    void head(RelayCommand::CallerId caller, int status, bool notRun = false);
    /// The same with a named limit.
    void limitedHead(RelayCommand::CallerId caller, double requestsPerSecond);
    void streamHead(RelayCommand::CallerId caller);
    void event(RelayCommand::CallerId caller, std::uint64_t id);
    void end(RelayCommand::CallerId caller);
    void fail(RelayCommand::CallerId caller, AttemptFailure failure);
    /// Rejects the latest attempt as not run, with head and end of the answer.
    void reject(RelayCommand::CallerId caller);

    /// Advances the time in ticks of 20 ms.
    void advance(std::chrono::milliseconds span);

    static BackendRecord record(const std::string &id, const std::string &service);

    Instant now{std::chrono::seconds(100)};
    RelayNode node;
    RelayNode::Commands commands;

private:
    RelayCommand::CallerId lastCaller = 0;
};

} // namespace Nutmegrill
