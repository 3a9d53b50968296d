#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <vector>

namespace Nutmegrill {

/// Paces of the ranks of a group by the states of their agents.
class GroupPaces
{
public:
    explicit GroupPaces(std::uint32_t ranks) : figures(ranks) {}

    /// A figure that arrived at \a heardAt.
    void add(std::uint32_t rank, double pace, Instant heardAt);

    /// Paces by rank; 1 for the ranks of silent agents. If more than a quarter of the ranks are
    /// slow, none counts: there are too few others to take their work.
    std::vector<double> at(Instant now) const;

private:
    struct Figure
    {
        double pace = 1;
        Instant heardAt;
    };

    std::vector<Figure> figures;
};

} // namespace Nutmegrill
