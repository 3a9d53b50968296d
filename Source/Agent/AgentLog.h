#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Numbers of the agent's log events.
class AgentLog
{
public:
    static constexpr std::uint32_t WrongDeploymentKey = 3001;
    static constexpr std::uint32_t TurnedCold = 3002;
    static constexpr std::uint32_t BackendUp = 3003;
    static constexpr std::uint32_t BackendDown = 3004;
    static constexpr std::uint32_t BackendCrashed = 3005;
    static constexpr std::uint32_t AnswerWithoutRecord = 3006;
    static constexpr std::uint32_t Leaving = 3007;
    static constexpr std::uint32_t Drained = 3008;
    static constexpr std::uint32_t DomainOut = 3009;
    static constexpr std::uint32_t DomainIn = 3010;
    static constexpr std::uint32_t Quarantined = 3011;
    static constexpr std::uint32_t ConfigurationInForce = 3012;
};

} // namespace Nutmegrill
