#pragma once

#include "Membership/SlowRank.h"

#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

/// Slow ranks as a part of a message.
nlohmann::json slowRanksToJson(const std::vector<SlowRank> &ranks);
/// Throws nlohmann::json::exception if the part is invalid.
std::vector<SlowRank> slowRanksFromJson(const nlohmann::json &json);

} // namespace Nutmegrill
