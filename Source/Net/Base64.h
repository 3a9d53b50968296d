#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

std::string encodeBase64(std::string_view bytes);

/// Returns nullopt for malformed text.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Nutmegrill
