#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// One complete event of a stream.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    /// Raw bytes, including the empty line at the end.
    std::string bytes;
};

} // namespace Nutmegrill
