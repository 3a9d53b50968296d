#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// One reader of bytes from outside.
struct FuzzTarget
{
    const char *name;
    /// Valid inputs that mutations begin with.
    std::vector<std::string> corpus;
    /// Reads the bytes. Returns what is wrong, or an empty text; a crash is found by the
    /// sanitizers.
    std::string (*run)(std::string_view bytes);
};

const std::vector<FuzzTarget> &fuzzTargets();

} // namespace Nutmegrill
