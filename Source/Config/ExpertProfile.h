#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Experts of a mixture-of-experts model, and what a change of their placement costs.
struct ExpertProfile
{
    /// Layers that have an expert map each. 0: the model has no experts that can be placed.
    std::uint32_t layers = 0;
    /// Experts of a layer.
    std::uint32_t count = 0;
    /// Experts that a rank can hold in a layer.
    std::uint32_t placesPerRank = 0;
    /// Experts that a rank can load in a layer for one change.
    std::uint32_t loadsPerChange = 0;
    std::uint64_t bytes = 0;
    /// Bytes per second that a rank copies.
    std::uint64_t copyRate = 1;

    bool operator==(const ExpertProfile &) const = default;
};

} // namespace Nutmegrill
