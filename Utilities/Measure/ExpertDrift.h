#pragma once

#include "Core/RandomSource.h"
#include "Experts/ExpertLoad.h"

#include <cstdint>
#include <vector>

namespace Nutmegrill {

/// Generates the token load of experts over a simulated day: a skewed base load, two sine waves per
/// expert with one and two periods a day and random phases, and sampling noise.
class ExpertDrift
{
public:
    ExpertDrift(std::uint64_t seed, std::uint32_t layers, std::uint32_t experts);

    /// Returns the expected tokens per expert for \a total tokens per layer. \a dayTime is the time
    /// of the day in [0, 1).
    ExpertLoad::Tokens expected(double dayTime, double total) const;

    /// Returns expected() with sampling noise.
    ExpertLoad::Tokens sample(double dayTime, double total);

private:
    struct Wave
    {
        double base = 1;
        double amplitude = 0;
        double phase = 0;
        double secondAmplitude = 0;
        double secondPhase = 0;
    };

    double normal();

    RandomSource random;
    std::vector<std::vector<Wave>> waves;
};

} // namespace Nutmegrill
