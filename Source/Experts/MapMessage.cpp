#include "Experts/MapMessage.h"

#include <array>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

using Answer = MapMessage::Answer;
NLOHMANN_JSON_SERIALIZE_ENUM(Answer, {{Answer::Unknown, "unknown"},
                                      {Answer::Armed, "armed"},
                                      {Answer::Refused, "refused"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapChangeId, fence, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExpertMap, epoch, slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Stage, change, map)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Staged, change, step)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Arm, change, step)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Armed, change, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Refused, change, incarnation, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Outcome, change, commit, incarnations)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::AskVote, change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Vote, change, answer, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::MapWanted, incarnation, fence, survey)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::MapInfo, survey, member, founding, map,
                                                previousMap, mapChange, mapStep, refusedUpTo, open,
                                                step, firstStep, incarnations)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MapMessage::Found, fence, map, incarnations)

namespace {

// Names on the wire, in the order of the alternatives of the variant.
constexpr std::array Names = {"stage",    "staged", "arm",        "armed",    "refused", "outcome",
                              "ask_vote", "vote",   "map_wanted", "map_info", "found"};
static_assert(Names.size() == std::variant_size_v<MapMessage::Any>);

template <std::size_t Index = 0>
std::optional<MapMessage::Any> fromJson(const nlohmann::json &document)
{
    if constexpr (Index < std::variant_size_v<MapMessage::Any>) {
        using Body = std::variant_alternative_t<Index, MapMessage::Any>;
        if (document[0] == Names[Index])
            return MapMessage::Any(document[1].template get<Body>());
        return fromJson<Index + 1>(document);
    } else {
        return std::nullopt;
    }
}

} // namespace

std::string encodeMapMessage(const MapMessage::Any &message)
{
    auto document = nlohmann::json::array({Names[message.index()]});
    std::visit([&document](const auto &body) { document.push_back(body); }, message);
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<MapMessage::Any> decodeMapMessage(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array() || document.size() != 2 || !document[1].is_object())
        return std::nullopt;
    try {
        return fromJson(document);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
