#pragma once

#include "Config/Configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Canonical JSON of a configuration: equal configurations give equal bytes.
std::string encodeConfiguration(const Configuration &configuration);

/// Reads encodeConfiguration() output. Unknown fields are ignored, missing ones take their default;
/// malformed text gives nullopt.
std::optional<Configuration> decodeConfiguration(std::string_view text);

} // namespace Nutmegrill
