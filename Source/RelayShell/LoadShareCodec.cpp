#include "RelayShell/LoadShareCodec.h"

#include "Core/Cbor.h"

#include <algorithm>
#include <cstddef>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

constexpr const char *Type = "load";
/// Four bytes for the hash of the backend server and two for its requests.
constexpr std::size_t HashBytes = 4;
constexpr std::size_t CountBytes = 2;
constexpr std::size_t RowBytes = HashBytes + CountBytes;
constexpr std::uint32_t MaxCount = 0xffff;

void appendNumber(std::vector<std::uint8_t> &bytes, std::uint32_t number, std::size_t length)
{
    for (std::size_t index = 0; index < length; ++index)
        bytes.push_back(static_cast<std::uint8_t>(number >> (8 * index)));
}

std::uint32_t readNumber(const std::vector<std::uint8_t> &bytes, std::size_t at, std::size_t length)
{
    std::uint32_t number = 0;
    for (std::size_t index = 0; index < length; ++index)
        number |= static_cast<std::uint32_t>(bytes[at + index]) << (8 * index);
    return number;
}

} // namespace

std::string encodeLoadShare(const LoadShare &share)
{
    std::vector<std::uint8_t> rows;
    rows.reserve(share.running.size() * RowBytes);
    for (const auto &[backend, requests] : share.running) {
        appendNumber(rows, backend, HashBytes);
        appendNumber(rows, std::min(requests, MaxCount), CountBytes);
    }
    const Json json = {{"type", Type},           {"s", static_cast<int>(share.scope)},
                       {"a", share.sender},      {"d", share.failureDomain},
                       {"i", share.incarnation}, {"q", share.sequence},
                       {"f", share.wantsFleet},  {"r", Json::binary(std::move(rows))},
                       {"w", share.waiting}};
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<LoadShare> decodeLoadShare(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != Type)
            return std::nullopt;
        LoadShare share;
        const int scope = json.at("s").get<int>();
        if (scope < 0 || scope > static_cast<int>(LoadShare::Scope::Fleet))
            return std::nullopt;
        share.scope = static_cast<LoadShare::Scope>(scope);
        json.at("a").get_to(share.sender);
        json.at("d").get_to(share.failureDomain);
        json.at("i").get_to(share.incarnation);
        json.at("q").get_to(share.sequence);
        json.at("f").get_to(share.wantsFleet);
        json.at("w").get_to(share.waiting);
        const std::vector<std::uint8_t> &rows = json.at("r").get_binary();
        if (rows.size() % RowBytes != 0 || share.sender.empty())
            return std::nullopt;
        for (std::size_t at = 0; at < rows.size(); at += RowBytes)
            share.running.push_back({readNumber(rows, at, HashBytes),
                                     readNumber(rows, at + HashBytes, CountBytes)});
        return share;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
