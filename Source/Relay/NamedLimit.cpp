#include "Relay/NamedLimit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Nutmegrill {

namespace {

/// Limits may be below one request a second and entry; a longer window leaves more entries a whole
/// request.
constexpr std::chrono::seconds Window{4};

} // namespace

NamedLimit::NamedLimit() : sent(Window) {}

bool NamedLimit::observe(Instant at, std::optional<double> requestsPerSecond)
{
    if (at <= this->statedAt)
        return false;
    this->statedAt = at;
    const bool changed = this->limit != requestsPerSecond;
    this->limit = requestsPerSecond;
    return changed;
}

std::uint32_t NamedLimit::requestsPerWindow() const
{
    const double total = this->limit.value_or(0) * std::chrono::duration<double>(Window).count();
    return static_cast<std::uint32_t>(std::clamp(std::floor(total), 1.0, 1e9));
}

} // namespace Nutmegrill
