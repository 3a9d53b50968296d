#pragma once

#include "Relay/RelayNode.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A relaying entry with a configuration of one model service and one plain service, and helpers
/// that read its orders.
class RelayScene
{
public:
    explicit RelayScene(std::uint32_t modelServers = 3, std::uint32_t plainServers = 2);

    /// A request arrives; returns its number.
    RelayOrder::CallerId arrive(const std::string &path, const std::string &key = "key-1",
                                std::optional<std::uint64_t> lastEvent = std::nullopt);

    /// Latest attempt of a caller; null when it has none.
    const RelayOrder::StartAttempt *attemptOf(RelayOrder::CallerId caller) const;
    const RelayOrder::Refuse *refusalOf(RelayOrder::CallerId caller) const;
    std::size_t attemptsOf(RelayOrder::CallerId caller) const;

    template <typename Order>
    std::size_t count() const
    {
        std::size_t number = 0;
        for (const auto &order : this->orders)
            number += std::holds_alternative<Order>(order) ? 1 : 0;
        return number;
    }

    /// The present attempt of a caller answers.
    void head(RelayOrder::CallerId caller, int status, bool notRun = false);
    void streamHead(RelayOrder::CallerId caller);
    void event(RelayOrder::CallerId caller, std::uint64_t id);
    void end(RelayOrder::CallerId caller);
    void fail(RelayOrder::CallerId caller, AttemptFailure failure);
    /// Rejected as not run, head and end.
    void reject(RelayOrder::CallerId caller);

    /// Lets time pass in ticks of 20 ms.
    void pass(std::chrono::milliseconds span);

    static BackendRecord record(const std::string &id, const std::string &service);

    Instant now{std::chrono::seconds(100)};
    RelayNode node;
    RelayNode::Orders orders;

private:
    RelayOrder::CallerId lastCaller = 0;
};

} // namespace Nutmegrill
