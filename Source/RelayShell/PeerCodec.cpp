#include "RelayShell/PeerCodec.h"

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Json fromBytes(std::string_view bytes)
{
    return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

} // namespace

std::string encodeReport(const EntryReport &report)
{
    return toBytes({{"name", report.name},
                    {"incarnation", report.incarnation},
                    {"sequence", report.sequence},
                    {"domain", report.failureDomain},
                    {"callers", report.callerAddress},
                    {"peers", report.peerAddress},
                    {"serving", report.isServing},
                    {"leaving", report.isLeaving},
                    {"revision", report.storeRevision},
                    {"running", report.running},
                    {"waiting", report.waiting}});
}

std::optional<EntryReport> decodeReport(std::string_view bytes)
{
    const Json json = fromBytes(bytes);
    if (!json.is_object())
        return std::nullopt;
    try {
        EntryReport report;
        report.name = json.value("name", "");
        report.incarnation = json.value("incarnation", std::uint64_t(0));
        report.sequence = json.value("sequence", std::uint64_t(0));
        report.failureDomain = json.value("domain", "");
        report.callerAddress = json.value("callers", "");
        report.peerAddress = json.value("peers", "");
        report.isServing = json.value("serving", false);
        report.isLeaving = json.value("leaving", false);
        report.storeRevision = json.value("revision", std::uint64_t(0));
        report.running = json.value("running", decltype(report.running)());
        report.waiting = json.value("waiting", decltype(report.waiting)());
        if (report.peerAddress.empty())
            return std::nullopt;
        return report;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeUpdate(const StoreMirror::Update &update)
{
    Json items = Json::array();
    for (const StoreChange &item : update.items)
        items.push_back({item.key, item.revision, item.value ? Json(*item.value) : Json()});
    return toBytes({{"whole", update.isWhole}, {"revision", update.revision}, {"items", items}});
}

std::optional<StoreMirror::Update> decodeUpdate(std::string_view bytes)
{
    const Json json = fromBytes(bytes);
    if (!json.is_object())
        return std::nullopt;
    try {
        StoreMirror::Update update;
        update.isWhole = json.at("whole").get<bool>();
        update.revision = json.at("revision").get<std::uint64_t>();
        for (const Json &item : json.at("items")) {
            StoreChange change{item.at(0).get<std::string>(), std::nullopt,
                               item.at(1).get<std::uint64_t>()};
            if (!item.at(2).is_null())
                change.value = item.at(2).get<std::string>();
            update.items.push_back(std::move(change));
        }
        return update;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
