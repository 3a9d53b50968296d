#include "Experts/GroupPaces.h"

#include "Experts/RankPace.h"

#include <cstddef>

namespace Nutmegrill {

namespace {

/// Part of the ranks that may count as slow: one in four.
constexpr std::size_t MaxSlowDivisor = 4;

} // namespace

void GroupPaces::add(std::uint32_t rank, double pace, Instant heardAt)
{
    if (rank < this->figures.size())
        this->figures[rank] = {pace, heardAt};
}

std::vector<double> GroupPaces::at(Instant now) const
{
    std::vector<double> paces(this->figures.size(), 1);
    std::size_t slow = 0;
    for (std::size_t rank = 0; rank < paces.size(); ++rank) {
        const auto &[pace, heardAt] = this->figures[rank];
        if (pace <= 1 || now >= heardAt + RankPace::MaxAge)
            continue;
        paces[rank] = pace;
        ++slow;
    }
    if (slow * MaxSlowDivisor > paces.size())
        paces.assign(paces.size(), 1);
    return paces;
}

} // namespace Nutmegrill
