#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Nutmegrill {

/// One whole event of a stream.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    /// Its bytes, with the empty line that ends it.
    std::string bytes;
};

} // namespace Nutmegrill
