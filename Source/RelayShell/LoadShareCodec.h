#pragma once

#include "Relay/LoadShare.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

std::string encodeLoadShare(const LoadShare &share);
std::optional<LoadShare> decodeLoadShare(std::string_view bytes);

} // namespace Nutmegrill
