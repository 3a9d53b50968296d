#include "RelayShell/PeerCodec.h"

#include "Core/Cbor.h"

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
                    {"revision", report.knownRevision},
                    {"running", report.running},
                    {"waiting", report.waiting}});
}

std::optional<EntryReport> decodeReport(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
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
        report.knownRevision = json.value("revision", std::uint64_t(0));
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
    const Json json = parseCbor(bytes);
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

namespace {

Json switchToJson(const std::optional<MapSwitch> &mapSwitch)
{
    return mapSwitch ? Json{mapSwitch->version, mapSwitch->step} : Json();
}

std::optional<MapSwitch> switchFromJson(const Json &json)
{
    if (json.is_null())
        return std::nullopt;
    return MapSwitch{json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()};
}

Json optionalToJson(const std::optional<std::uint64_t> &number)
{
    return number ? Json(*number) : Json();
}

std::optional<std::uint64_t> optionalFromJson(const Json &json)
{
    return json.is_null() ? std::nullopt : std::optional(json.get<std::uint64_t>());
}

} // namespace

std::string encodeRankState(const RankState &state)
{
    const EngineState &engine = state.engine;
    return toBytes({{"type", "state"},
                    {"group", engine.group},
                    {"epoch", engine.epoch},
                    {"rank", engine.rank},
                    {"ranks", engine.ranks},
                    {"open", engine.isOpen},
                    {"step", engine.step},
                    {"map", engine.mapVersion},
                    {"prepared", optionalToJson(engine.preparedVersion)},
                    {"armed", switchToJson(engine.armed)},
                    {"held", optionalToJson(engine.heldStep)},
                    {"address", state.address},
                    {"engine", state.engineAddress},
                    {"told", state.isToldByOther},
                    {"incarnation", state.incarnation},
                    {"sequence", state.sequence},
                    {"ballot", state.ballot},
                    {"switching", switchToJson(state.switching)},
                    {"highest", state.highestVersion},
                    {"refused", state.refusedVersion},
                    {"lost", state.lostCommands},
                    {"experts", state.experts},
                    {"counts", state.counts}});
}

std::optional<RankState> decodeRankState(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != "state")
            return std::nullopt;
        RankState state;
        EngineState &engine = state.engine;
        json.at("group").get_to(engine.group);
        json.at("epoch").get_to(engine.epoch);
        json.at("rank").get_to(engine.rank);
        json.at("ranks").get_to(engine.ranks);
        json.at("open").get_to(engine.isOpen);
        json.at("step").get_to(engine.step);
        json.at("map").get_to(engine.mapVersion);
        engine.preparedVersion = optionalFromJson(json.at("prepared"));
        engine.armed = switchFromJson(json.at("armed"));
        engine.heldStep = optionalFromJson(json.at("held"));
        json.at("address").get_to(state.address);
        json.at("engine").get_to(state.engineAddress);
        json.at("told").get_to(state.isToldByOther);
        json.at("incarnation").get_to(state.incarnation);
        json.at("sequence").get_to(state.sequence);
        json.at("ballot").get_to(state.ballot);
        state.switching = switchFromJson(json.at("switching"));
        json.at("highest").get_to(state.highestVersion);
        json.at("refused").get_to(state.refusedVersion);
        json.at("lost").get_to(state.lostCommands);
        json.at("experts").get_to(state.experts);
        json.at("counts").get_to(state.counts);
        return state;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeOwnerCommand(const OwnerCommand &command)
{
    const bool hasMap = command.phase == OwnerCommand::Phase::Prepare;
    return toBytes({{"type", "command"},
                    {"group", command.group},
                    {"epoch", command.epoch},
                    {"ballot", command.ballot},
                    {"phase", static_cast<int>(command.phase)},
                    {"change", switchToJson(command.change)},
                    {"map", hasMap ? Json(command.map) : Json::array()}});
}

std::optional<OwnerCommand> decodeOwnerCommand(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != "command")
            return std::nullopt;
        OwnerCommand command;
        json.at("group").get_to(command.group);
        json.at("epoch").get_to(command.epoch);
        json.at("ballot").get_to(command.ballot);
        const int phase = json.at("phase").get<int>();
        if (phase < 0 || phase > static_cast<int>(OwnerCommand::Phase::Switch))
            return std::nullopt;
        command.phase = static_cast<OwnerCommand::Phase>(phase);
        command.change = switchFromJson(json.at("change")).value_or(MapSwitch());
        json.at("map").get_to(command.map);
        return command;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
