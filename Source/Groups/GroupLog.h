#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Numbers of the log events of model groups, in entries and agents.
class GroupLog
{
public:
    static constexpr std::uint32_t OwnerLeaseWon = 4001;
    static constexpr std::uint32_t OwnerLeaseLost = 4002;
    static constexpr std::uint32_t OwnerDeposed = 4003;
    static constexpr std::uint32_t MapChangeEnded = 4004;
    static constexpr std::uint32_t GroupLinkRefused = 4005;
    static constexpr std::uint32_t GroupRosterComplete = 4006;
    static constexpr std::uint32_t EngineHeldAtStart = 4007;
    static constexpr std::uint32_t MapJoined = 4008;
    static constexpr std::uint32_t MapInUse = 4009;
    static constexpr std::uint32_t EngineCommandRefused = 4010;
    static constexpr std::uint32_t WeightsNotLoaded = 4011;
    static constexpr std::uint32_t RebalancingPlanned = 4012;
};

} // namespace Nutmegrill
