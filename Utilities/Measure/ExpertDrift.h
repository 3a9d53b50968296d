#pragma once

#include "Core/RandomSource.h"
#include "Experts/ExpertLoad.h"

#include <cstdint>
#include <vector>

namespace Nutmegrill {

/// A day's popularity of experts: a skewed base, two waves a day with a phase for each expert, and
/// the sampling noise of the tokens of one interval.
class ExpertDrift
{
public:
    ExpertDrift(std::uint64_t seed, std::uint32_t layers, std::uint32_t experts);

    /// Expected tokens per expert at a time of the day in [0, 1), of \a total tokens a layer.
    ExpertLoad::Tokens expected(double dayTime, double total) const;

    /// A sample around expected().
    ExpertLoad::Tokens sample(double dayTime, double total);

private:
    struct Wave
    {
        double base = 1;
        double height = 0;
        double phase = 0;
        double secondHeight = 0;
        double secondPhase = 0;
    };

    double normal();

    RandomSource random;
    std::vector<std::vector<Wave>> waves;
};

} // namespace Nutmegrill
