#include "Experts/ExpertLoad.h"

#include <cmath>

namespace Nutmegrill {

void ExpertLoad::observe(Instant now, const Tokens &observed)
{
    if (!this->last.has_value()) {
        this->smoothed = observed;
    } else {
        const double age = std::chrono::duration<double>(now - *this->last)
                           / std::chrono::duration<double>(this->halfLife);
        const double keep = std::exp2(-age);
        for (std::size_t layer = 0; layer < observed.size(); ++layer) {
            for (std::size_t expert = 0; expert < observed[layer].size(); ++expert) {
                double &value = this->smoothed[layer][expert];
                value = keep * value + (1 - keep) * observed[layer][expert];
            }
        }
    }
    this->last = now;
}

} // namespace Nutmegrill
