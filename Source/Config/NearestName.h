#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Returns the candidate closest to \a name by edit distance, or an empty string when none is
/// close. The first of several equally close candidates is returned.
std::string nearestName(std::string_view name, const std::vector<std::string> &candidates);

} // namespace Nutmegrill
