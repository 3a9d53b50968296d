#pragma once

#include "Config/Configuration.h"
#include "Config/ObjectChange.h"

#include <vector>

namespace Nutmegrill {

/// Compares a configuration with the version in force, object by object, and marks what it takes
/// away. Version, change id and author are not compared.
class ConfigurationComparison
{
public:
    /// In a fixed order: by kind, then by name.
    static std::vector<ObjectChange> compare(const Configuration &inForce,
                                             const Configuration &next);
};

} // namespace Nutmegrill
