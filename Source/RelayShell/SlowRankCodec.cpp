#include "RelayShell/SlowRankCodec.h"

#include "Experts/RankPace.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

/// A quarter of the ranks of the largest group is half as many. Further ones are not read.
constexpr std::size_t MaxSlowRanks = 64;

} // namespace

Json slowRanksToJson(const std::vector<SlowRank> &ranks)
{
    Json json = Json::array();
    for (const auto &[address, pace, age] : ranks)
        json.push_back({address, pace, age.count()});
    return json;
}

std::vector<SlowRank> slowRanksFromJson(const Json &json)
{
    std::vector<SlowRank> ranks;
    for (const Json &rank : json) {
        if (ranks.size() == MaxSlowRanks)
            break;
        ranks.push_back({rank.at(0).get<std::string>(), RankPace::clamp(rank.at(1).get<double>()),
                         std::chrono::milliseconds(rank.at(2).get<std::uint32_t>())});
    }
    return ranks;
}

} // namespace Nutmegrill
