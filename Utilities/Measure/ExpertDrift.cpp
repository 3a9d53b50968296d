#include "Measure/ExpertDrift.h"

#include <algorithm>
#include <cmath>

namespace Nutmegrill {

namespace {

constexpr double TwoPi = 6.283185307179586;

} // namespace

ExpertDrift::ExpertDrift(std::uint64_t seed, std::uint32_t layers, std::uint32_t experts)
    : random(seed), waves(layers, std::vector<Wave>(experts))
{
    for (auto &layer : this->waves) {
        for (Wave &wave : layer) {
            wave.base = 0.4 * this->normal();
            wave.amplitude = 0.5 * this->random.unit();
            wave.phase = this->random.unit();
            wave.secondAmplitude = 0.2 * this->random.unit();
            wave.secondPhase = this->random.unit();
        }
    }
}

ExpertLoad::Tokens ExpertDrift::expected(double dayTime, double total) const
{
    ExpertLoad::Tokens tokens;
    for (const auto &layer : this->waves) {
        std::vector<double> row;
        double sum = 0;
        for (const Wave &wave : layer) {
            row.push_back(std::exp(
                    wave.base + wave.amplitude * std::sin(TwoPi * (dayTime + wave.phase))
                    + wave.secondAmplitude * std::sin(2 * TwoPi * (dayTime + wave.secondPhase))));
            sum += row.back();
        }
        for (double &value : row)
            value *= total / sum;
        tokens.push_back(std::move(row));
    }
    return tokens;
}

ExpertLoad::Tokens ExpertDrift::sample(double dayTime, double total)
{
    ExpertLoad::Tokens tokens = this->expected(dayTime, total);
    for (auto &layer : tokens) {
        for (double &value : layer)
            value = std::max(0.0, value + std::sqrt(value) * this->normal());
    }
    return tokens;
}

// Irwin-Hall approximation of a standard normal number: a sum of twelve uniform numbers uses no
// math function whose result differs between C libraries.
double ExpertDrift::normal()
{
    double sum = -6;
    for (int draw = 0; draw < 12; ++draw)
        sum += this->random.unit();
    return sum;
}

} // namespace Nutmegrill
