#pragma once

#include <cstdint>
#include <random>

namespace Nutmegrill {

/// Seeded random numbers for the decision logic. The same seed gives the same sequence on every
/// machine, which std::uniform_int_distribution does not guarantee.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed) : engine(seed) {}

    /// Uniform integer in [0, bound); 0 when \a bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform real number in [0, 1).
    double unit();

private:
    std::mt19937_64 engine;
};

} // namespace Nutmegrill
