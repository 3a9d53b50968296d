#include "RelayShell/DutyCodec.h"

#include "Core/Cbor.h"

#include <chrono>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

constexpr const char *UsageType = "usage";

} // namespace

std::string encodeDutyRecord(const DutyRecord &record)
{
    return Json{{"token", record.token},
                {"holder", record.holder},
                {"window", record.window},
                {"counts", record.counts}}
            .dump();
}

std::optional<DutyRecord> decodeDutyRecord(std::string_view text)
{
    const Json json = parseJson(text);
    try {
        DutyRecord record;
        json.at("token").get_to(record.token);
        json.at("holder").get_to(record.holder);
        json.at("window").get_to(record.window);
        json.at("counts").get_to(record.counts);
        return record;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeUsageMessage(const UsageMessage &message)
{
    Json windows = Json::array();
    for (const auto &[window, counts] : message.windows)
        windows.push_back({window, counts});
    const auto toldAt = std::chrono::duration_cast<std::chrono::milliseconds>(
            message.toldAt.time_since_epoch());
    std::string bytes;
    Json::to_cbor(Json{{"type", UsageType},
                       {"a", message.sender},
                       {"i", message.incarnation},
                       {"q", message.sequence},
                       {"t", toldAt.count()},
                       {"w", std::move(windows)}},
                  bytes);
    return bytes;
}

std::optional<UsageMessage> decodeUsageMessage(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != UsageType)
            return std::nullopt;
        UsageMessage message;
        json.at("a").get_to(message.sender);
        json.at("i").get_to(message.incarnation);
        json.at("q").get_to(message.sequence);
        message.toldAt = std::chrono::system_clock::time_point(
                std::chrono::milliseconds(json.at("t").get<std::int64_t>()));
        for (const Json &window : json.at("w"))
            message.windows[window.at(0).get<std::uint64_t>()] = window.at(1).get<AccountCounts>();
        return message;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
