#pragma once

#include <optional>

namespace Nutmegrill {

/// Settings of the entries that are checked together with a configuration; absent unless given.
struct EntryRatios
{
    std::optional<double> retryRatio;
    std::optional<double> hedgeRatio;
};

} // namespace Nutmegrill
