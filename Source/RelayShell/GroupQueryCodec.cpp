#include "RelayShell/GroupQueryCodec.h"

#include "Core/Cbor.h"
#include "RelayShell/SlowRankCodec.h"

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

constexpr const char *QueryType = "group-query";
constexpr const char *MembershipType = "group";
/// Longer names of groups are not taken.
constexpr std::size_t MaxNameLength = 200;

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

} // namespace

std::string encodeGroupQuery(const std::string &replyAddress)
{
    return toBytes({{"type", QueryType}, {"a", replyAddress}});
}

std::optional<std::string> decodeGroupQuery(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != QueryType)
            return std::nullopt;
        return json.at("a").get<std::string>();
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeGroupMembership(const GroupMembership &membership)
{
    Json json = {{"type", MembershipType}, {"x", membership.address}, {"g", membership.group}};
    if (!membership.slowRanks.empty())
        json["s"] = slowRanksToJson(membership.slowRanks);
    return toBytes(json);
}

std::optional<GroupMembership> decodeGroupMembership(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != MembershipType)
            return std::nullopt;
        GroupMembership membership{json.at("x").get<std::string>(), json.at("g").get<std::string>(),
                                   slowRanksFromJson(json.value("s", Json::array()))};
        if (membership.group.empty() || membership.group.size() > MaxNameLength)
            return std::nullopt;
        return membership;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
