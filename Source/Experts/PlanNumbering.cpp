#include "Experts/PlanNumbering.h"

#include <algorithm>

namespace Nutmegrill {

PlanNumbering::PlanNumbering(std::chrono::system_clock::time_point startedAt, std::uint64_t tag)
    : firstOrder(static_cast<std::uint64_t>(
            std::max<std::int64_t>(startedAt.time_since_epoch() / Unit, 1))),
      tag(tag * 2 % Step)
{}

std::uint64_t PlanNumbering::next(std::uint64_t highestKnown) const
{
    const std::uint64_t order = std::max(highestKnown / Step + 1, this->firstOrder);
    return order * Step + this->tag;
}

} // namespace Nutmegrill
