#include "Experts/ExpertLoad.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

ExpertLoad::ExpertLoad(std::chrono::microseconds halfLife, std::chrono::microseconds trendHalfLife)
    : halfLife(halfLife), trendHalfLife(trendHalfLife)
{}

void ExpertLoad::observe(Instant now, const Tokens &observed)
{
    if (!this->last.has_value()) {
        this->fast = observed;
        this->slow = observed;
    } else {
        const std::chrono::duration<double> age = now - *this->last;
        smooth(this->fast, observed, std::exp2(-(age / this->halfLife)));
        smooth(this->slow, observed, std::exp2(-(age / this->trendHalfLife)));
    }
    this->last = now;
}

ExpertLoad::Tokens ExpertLoad::predict(std::chrono::microseconds ahead) const
{
    // Under a constant trend, an exponentially smoothed value lags by halfLife / ln 2. The
    // difference of the two smoothed values is therefore the change during the difference of their
    // lags.
    constexpr double Ln2 = 0.6931471805599453;
    const std::chrono::duration<double> lag = this->halfLife / Ln2;
    const std::chrono::duration<double> slowLag = this->trendHalfLife / Ln2;
    const double factor = (lag + ahead) / (slowLag - lag);
    Tokens predicted = this->fast;
    for (std::size_t layer = 0; layer < predicted.size(); ++layer) {
        for (std::size_t expert = 0; expert < predicted[layer].size(); ++expert) {
            const double trend = this->fast[layer][expert] - this->slow[layer][expert];
            double &value = predicted[layer][expert];
            value = std::max(0.0, value + factor * trend);
        }
    }
    return predicted;
}

void ExpertLoad::smooth(Tokens &values, const Tokens &observed, double keep)
{
    for (std::size_t layer = 0; layer < observed.size(); ++layer) {
        for (std::size_t expert = 0; expert < observed[layer].size(); ++expert) {
            double &value = values[layer][expert];
            value = keep * value + (1 - keep) * observed[layer][expert];
        }
    }
}

} // namespace Nutmegrill
