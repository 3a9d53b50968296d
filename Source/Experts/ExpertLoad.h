#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Exponentially smoothed tokens per expert in each layer.
class ExpertLoad
{
public:
    /// tokens[layer][expert]
    using Tokens = std::vector<std::vector<double>>;

    /// An observation loses half its weight in \a halfLife.
    explicit ExpertLoad(std::chrono::microseconds halfLife) : halfLife(halfLife) {}

    /// Adds the tokens per step seen since the last observation.
    void observe(Instant now, const Tokens &observed);

    /// Empty before the first observation.
    const Tokens &tokens() const { return this->smoothed; }

private:
    std::chrono::microseconds halfLife;
    std::optional<Instant> last;
    Tokens smoothed;
};

} // namespace Nutmegrill
