#include "Experts/PlanNumbering.h"

#include <algorithm>

namespace Nutmegrill {

PlanNumbering::PlanNumbering(std::chrono::system_clock::time_point startedAt, std::uint64_t tag)
    : firstOrder(static_cast<std::uint64_t>(
            std::max<std::int64_t>(startedAt.time_since_epoch() / Unit, 1))),
      tag(tag & ((std::uint64_t(1) << TagBits) - 1))
{}

std::uint64_t PlanNumbering::next(std::uint64_t highestKnown) const
{
    const std::uint64_t order = std::max((highestKnown >> TagBits) + 1, this->firstOrder);
    return (order << TagBits) | this->tag;
}

} // namespace Nutmegrill
