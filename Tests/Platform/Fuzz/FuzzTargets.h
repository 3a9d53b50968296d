#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// One parser of untrusted input.
struct FuzzTarget
{
    const char *name;
    /// Seed inputs for the mutations, most of them valid.
    std::vector<std::string> corpus;
    /// Parses the bytes. Returns a description of the violated property, or an empty string. The
    /// sanitizers detect memory errors.
    std::string (*run)(std::string_view bytes);
};

const std::vector<FuzzTarget> &fuzzTargets();

} // namespace Nutmegrill
