#include "Core/RandomSource.h"

#include <limits>

namespace Nutmegrill {

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    if (bound == 0)
        return 0;
    // Rejects values past the last full multiple of the bound, which would bias the result.
    const std::uint64_t limit = std::numeric_limits<std::uint64_t>::max() / bound * bound;
    std::uint64_t value = this->engine();
    while (value >= limit)
        value = this->engine();
    return value % bound;
}

double RandomSource::unit()
{
    static constexpr double InverseOf53Bits = 1.0 / 9007199254740992.0;
    return static_cast<double>(this->engine() >> 11U) * InverseOf53Bits;
}

} // namespace Nutmegrill
