#pragma once

#include "Config/Configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Encodes a configuration as canonical JSON: equal configurations have equal bytes.
std::string encodeConfiguration(const Configuration &configuration);

/// Parses the output of encodeConfiguration(). Ignores unknown fields and uses the defaults of
/// missing ones; returns nullopt for malformed text.
std::optional<Configuration> decodeConfiguration(std::string_view text);

} // namespace Nutmegrill
