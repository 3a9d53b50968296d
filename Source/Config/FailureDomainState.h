#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// Whether operators have taken a failure domain out of service. The epoch rises with each
/// take-out and bring-back, so that two states of one failure domain can be ordered without a
/// clock.
struct FailureDomainState
{
    std::string name;
    bool out = false;
    std::uint64_t epoch = 0;

    bool operator==(const FailureDomainState &) const = default;
};

} // namespace Nutmegrill
