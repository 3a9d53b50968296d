#pragma once

#include <string>

namespace Nutmegrill {

std::string encodeBase64(const std::string &bytes);

/// Throws StandInError when \a text is not base64.
std::string decodeBase64(const std::string &text);

} // namespace Nutmegrill
