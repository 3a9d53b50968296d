#pragma once

#include "Config/Configuration.h"

#include <string>
#include <vector>

namespace Nutmegrill {

/// Differences of two configurations as lines in a fixed order: `+ Service a`, `- Place b` and
/// `~ ClientAccount c: weight 1 -> 5`. Version, change id and author are not compared.
std::vector<std::string> diffConfigurations(const Configuration &before,
                                            const Configuration &after);

} // namespace Nutmegrill
