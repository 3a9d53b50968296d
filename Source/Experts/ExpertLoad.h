#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Exponentially smoothed tokens per expert in each layer, and their trend.
class ExpertLoad
{
public:
    /// tokens[layer][expert]
    using Tokens = std::vector<std::vector<double>>;

    /// An observation loses half its weight in \a halfLife. The trend is the difference to a second
    /// smoothing with the longer \a trendHalfLife.
    ExpertLoad(std::chrono::microseconds halfLife, std::chrono::microseconds trendHalfLife);

    /// Adds the tokens per step seen since the last observation.
    void observe(Instant now, const Tokens &observed);

    /// Empty before the first observation.
    const Tokens &tokens() const { return this->fast; }

    /// The tokens expected at \a ahead after the last observation if the trend goes on. Smoothed
    /// values lag behind a drift, so even for 0 they differ from tokens().
    Tokens predict(std::chrono::microseconds ahead) const;

private:
    static void smooth(Tokens &values, const Tokens &observed, double keep);

    std::chrono::microseconds halfLife;
    std::chrono::microseconds trendHalfLife;
    std::optional<Instant> last;
    Tokens fast;
    Tokens slow;
};

} // namespace Nutmegrill
