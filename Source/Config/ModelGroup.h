#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// The ranks that run one model in lockstep on an expert map.
struct ModelGroup
{
    std::string name;
    /// Service whose backend servers are the ranks of this group.
    std::string service;
    std::string failureDomain;
    std::uint32_t ranks = 0;
    std::uint32_t layers = 1;
    std::uint32_t expertsPerLayer = 0;
    /// Expert slots of one rank in one layer; ranks * slots beyond the experts hold replicas.
    std::uint32_t slotsPerRank = 0;
    std::uint64_t expertBytes = 0;

    bool operator==(const ModelGroup &) const = default;
};

} // namespace Nutmegrill
