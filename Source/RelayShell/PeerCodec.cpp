#include "RelayShell/PeerCodec.h"

#include "Core/Cbor.h"
#include "Experts/PackedMap.h"
#include "Experts/RankPace.h"
#include "RelayShell/PlanNumberTable.h"
#include "RelayShell/SlowRankCodec.h"

#include <algorithm>
#include <utility>

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

// Reports repeat the records several times a second, so the names of the fields are short.
Json crashesToJson(const CrashReport &report)
{
    Json crashes = Json::array();
    for (const auto &[id, age, isRepeat] : report.crashes) {
        Json crash = {id, age.count()};
        if (isRepeat)
            crash.push_back(true);
        crashes.push_back(std::move(crash));
    }
    Json json = {
            {"f", report.fingerprint}, {"c", std::move(crashes)}, {"l", report.remaining.count()}};
    if (report.sinceSuccess)
        json["s"] = report.sinceSuccess->count();
    return json;
}

CrashReport crashesFromJson(const Json &json)
{
    CrashReport report;
    json.at("f").get_to(report.fingerprint);
    for (const Json &crash : json.at("c"))
        report.crashes.push_back({crash.at(0).get<std::string>(),
                                  std::chrono::milliseconds(crash.at(1).get<std::uint32_t>()),
                                  crash.size() > 2 && crash.at(2).get<bool>()});
    if (json.contains("s"))
        report.sinceSuccess = std::chrono::milliseconds(json.at("s").get<std::uint32_t>());
    report.remaining = std::chrono::milliseconds(json.at("l").get<std::uint32_t>());
    return report;
}

} // namespace

std::string encodeCrashReport(const CrashReport &report)
{
    return crashesToJson(report).dump();
}

std::optional<CrashReport> decodeCrashReport(std::string_view text)
{
    try {
        return crashesFromJson(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeReport(const EntryReport &report)
{
    Json json = {{"name", report.name},
                 {"incarnation", report.incarnation},
                 {"sequence", report.sequence},
                 {"domain", report.failureDomain},
                 {"callers", report.callerAddress},
                 {"peers", report.peerAddress},
                 {"serving", report.isServing},
                 {"leaving", report.isLeaving},
                 {"revision", report.known.revision},
                 {"store", report.reachesStore},
                 {"running", report.running},
                 {"waiting", report.waiting}};
    if (report.known.generation > 0)
        json["generation"] = report.known.generation;
    if (report.sinceStoreAnswer)
        json["answered"] = report.sinceStoreAnswer->count();
    if (report.sinceStoreReturned)
        json["returned"] = report.sinceStoreReturned->count();
    if (report.clock)
        json["clock"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                                report.clock->time_since_epoch())
                                .count();
    for (const auto &[incarnation, requestsPerSecond, age] : report.limits)
        json["limits"].push_back(
                {incarnation, requestsPerSecond ? Json(*requestsPerSecond) : Json(), age.count()});
    if (!report.leaving.empty())
        json["leave"] = report.leaving;
    if (!report.slowRanks.empty())
        json["slow"] = slowRanksToJson(report.slowRanks);
    for (const CrashReport &crashes : report.crashes)
        json["crashes"].push_back(crashesToJson(crashes));
    return toBytes(json);
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
        report.known = {json.value("generation", std::uint64_t(0)),
                        json.value("revision", std::uint64_t(0))};
        report.reachesStore = json.value("store", true);
        if (json.contains("answered"))
            report.sinceStoreAnswer =
                    std::chrono::milliseconds(json.at("answered").get<std::uint32_t>());
        if (json.contains("returned"))
            report.sinceStoreReturned =
                    std::chrono::milliseconds(json.at("returned").get<std::uint32_t>());
        if (json.contains("clock"))
            report.clock = std::chrono::system_clock::time_point(
                    std::chrono::milliseconds(json.at("clock").get<std::int64_t>()));
        report.running = json.value("running", decltype(report.running)());
        report.waiting = json.value("waiting", decltype(report.waiting)());
        for (const Json &limit : json.value("limits", Json::array()))
            report.limits.push_back({limit.at(0).get<std::string>(),
                                     limit.at(1).is_null()
                                             ? std::nullopt
                                             : std::optional(limit.at(1).get<double>()),
                                     std::chrono::milliseconds(limit.at(2).get<std::uint32_t>())});
        report.leaving = json.value("leave", decltype(report.leaving)());
        report.slowRanks = slowRanksFromJson(json.value("slow", Json::array()));
        for (const Json &crashes : json.value("crashes", Json::array()))
            report.crashes.push_back(crashesFromJson(crashes));
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
    return toBytes({{"whole", update.isWhole},
                    {"generation", update.position.generation},
                    {"revision", update.position.revision},
                    {"items", items}});
}

std::optional<StoreMirror::Update> decodeUpdate(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    if (!json.is_object())
        return std::nullopt;
    try {
        StoreMirror::Update update;
        update.isWhole = json.at("whole").get<bool>();
        update.position = {json.value("generation", std::uint64_t(0)),
                           json.at("revision").get<std::uint64_t>()};
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

Json switchToJson(const std::optional<MapSwitch> &mapSwitch, PlanNumberTable &numbers)
{
    return mapSwitch ? Json{numbers.place(mapSwitch->version), mapSwitch->step} : Json();
}

std::optional<MapSwitch> switchFromJson(const Json &json, const PlanNumberTable &numbers)
{
    if (json.is_null())
        return std::nullopt;
    return MapSwitch{numbers.at(json.at(0).get<std::size_t>()), json.at(1).get<std::uint64_t>()};
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

// Every agent sends a state at least every few seconds, and the hub receives those of all ranks, so
// the names of the fields are short.
std::string encodeRankState(const RankState &state)
{
    const EngineState &engine = state.engine;
    PlanNumberTable numbers;
    const std::size_t map = numbers.place(engine.mapVersion);
    Json json = {{"type", "rank-3"},
                 {"g", engine.group},
                 {"e", engine.epoch},
                 {"r", engine.rank},
                 {"n", engine.ranks},
                 {"o", engine.isOpen},
                 {"s", engine.step},
                 {"m", map},
                 {"a", state.address},
                 {"x", state.engineAddress},
                 {"i", state.incarnation},
                 {"q", state.sequence},
                 {"b", numbers.place(state.ballot)}};
    if (state.lostCommands > 0)
        json["l"] = state.lostCommands;
    if (state.refusedVersion > 0)
        json["rv"] = numbers.place(state.refusedVersion);
    // These are that of the map in use unless a change is in progress.
    const std::pair<const char *, std::uint64_t> versions[] = {{"hv", state.highestVersion},
                                                               {"cv", state.receivedVersion},
                                                               {"kv", state.knownVersion}};
    for (const auto &[name, version] : versions) {
        if (version != engine.mapVersion)
            json[name] = numbers.place(version);
    }
    if (state.isHub)
        json["hub"] = {state.wantsExperts, state.countsPeriod.count()};
    const std::pair<const char *, Json> optionals[] = {
            {"p", engine.preparedVersion ? Json(numbers.place(*engine.preparedVersion)) : Json()},
            {"ar", switchToJson(engine.armed, numbers)},
            {"h", optionalToJson(engine.heldStep)},
            {"sw", switchToJson(state.switching, numbers)},
            {"gs", switchToJson(state.groupSwitch, numbers)},
            {"gh", optionalToJson(state.groupHeldStep)},
            {"ga", switchToJson(state.allArmed, numbers)},
            {"ha", switchToJson(state.holderArmed, numbers)},
            {"ak", optionalToJson(state.acknowledgedStep)}};
    for (const auto &[name, value] : optionals) {
        if (!value.is_null())
            json[name] = value;
    }
    if (engine.pace > 1)
        json["pc"] = engine.pace;
    if (!state.entry.empty())
        json["en"] = state.entry;
    if (!state.experts.empty())
        json["ex"] = Json::binary(packMap({state.experts}));
    json["v"] = numbers.toJson();
    return toBytes(json);
}

std::optional<RankState> decodeRankState(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != "rank-3")
            return std::nullopt;
        RankState state;
        EngineState &engine = state.engine;
        const auto optional = [&json](const char *name) { return json.value(name, Json()); };
        const PlanNumberTable numbers = PlanNumberTable::fromJson(json.at("v"));
        const auto number = [&json, &numbers](const char *name, std::uint64_t absent) {
            return json.contains(name) ? numbers.at(json.at(name).get<std::size_t>()) : absent;
        };
        json.at("g").get_to(engine.group);
        json.at("e").get_to(engine.epoch);
        json.at("r").get_to(engine.rank);
        json.at("n").get_to(engine.ranks);
        json.at("o").get_to(engine.isOpen);
        json.at("s").get_to(engine.step);
        engine.mapVersion = numbers.at(json.at("m").get<std::size_t>());
        if (json.contains("p"))
            engine.preparedVersion = number("p", 0);
        engine.armed = switchFromJson(optional("ar"), numbers);
        engine.heldStep = optionalFromJson(optional("h"));
        engine.pace = RankPace::clamp(json.value("pc", 1.0));
        json.at("a").get_to(state.address);
        json.at("x").get_to(state.engineAddress);
        json.at("i").get_to(state.incarnation);
        json.at("q").get_to(state.sequence);
        state.ballot = numbers.at(json.at("b").get<std::size_t>());
        state.switching = switchFromJson(optional("sw"), numbers);
        state.highestVersion = number("hv", engine.mapVersion);
        state.refusedVersion = number("rv", 0);
        state.receivedVersion = number("cv", engine.mapVersion);
        state.knownVersion = number("kv", engine.mapVersion);
        state.lostCommands = json.value("l", std::uint64_t(0));
        state.groupSwitch = switchFromJson(optional("gs"), numbers);
        state.groupHeldStep = optionalFromJson(optional("gh"));
        state.allArmed = switchFromJson(optional("ga"), numbers);
        state.holderArmed = switchFromJson(optional("ha"), numbers);
        state.acknowledgedStep = optionalFromJson(optional("ak"));
        state.entry = json.value("en", "");
        if (const Json hub = optional("hub"); !hub.is_null()) {
            state.isHub = true;
            state.wantsExperts = hub.at(0).get<bool>();
            state.countsPeriod = std::chrono::milliseconds(hub.at(1).get<std::uint32_t>());
        }
        if (const Json experts = optional("ex"); !experts.is_null()) {
            auto map = unpackMap(experts.get_binary());
            if (!map || map->size() != 1)
                return std::nullopt;
            state.experts = std::move(map->front());
        }
        return state;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeOwnerCommand(const OwnerCommand &command)
{
    PlanNumberTable numbers;
    Json json = {{"type", "order-2"},
                 {"g", command.group},
                 {"e", command.epoch},
                 {"r", command.owner},
                 {"b", numbers.place(command.ballot)},
                 {"p", static_cast<int>(command.phase)},
                 {"c", switchToJson(command.change, numbers)}};
    if (command.phase == OwnerCommand::Phase::Prepare && command.delta) {
        Json entries = Json::array();
        for (const auto &[layer, rank, experts] : command.delta->entries)
            entries.push_back({layer, rank, experts});
        json["d"] = {numbers.place(command.delta->base), std::move(entries)};
    } else if (command.phase == OwnerCommand::Phase::Prepare) {
        json["m"] = Json::binary(packMap(command.map));
    }
    json["v"] = numbers.toJson();
    return toBytes(json);
}

std::optional<OwnerCommand> decodeOwnerCommand(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != "order-2")
            return std::nullopt;
        OwnerCommand command;
        json.at("g").get_to(command.group);
        json.at("e").get_to(command.epoch);
        json.at("r").get_to(command.owner);
        const PlanNumberTable numbers = PlanNumberTable::fromJson(json.at("v"));
        command.ballot = numbers.at(json.at("b").get<std::size_t>());
        const int phase = json.at("p").get<int>();
        if (phase < 0 || phase > static_cast<int>(OwnerCommand::Phase::Switch))
            return std::nullopt;
        command.phase = static_cast<OwnerCommand::Phase>(phase);
        command.change = switchFromJson(json.at("c"), numbers).value_or(MapSwitch());
        if (json.contains("d")) {
            MapDelta &delta = command.delta.emplace();
            delta.base = numbers.at(json.at("d").at(0).get<std::size_t>());
            for (const Json &entry : json.at("d").at(1))
                delta.entries.push_back({entry.at(0).get<std::uint32_t>(),
                                         entry.at(1).get<std::uint32_t>(),
                                         entry.at(2).get<std::vector<std::uint32_t>>()});
        } else if (command.phase == OwnerCommand::Phase::Prepare) {
            auto map = unpackMap(json.at("m").get_binary());
            if (!map)
                return std::nullopt;
            command.map = std::move(*map);
        }
        return command;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeExpertCounts(const ExpertCounts &sample)
{
    // One byte a count: only the ratios matter.
    constexpr std::uint64_t MaxByte = 255;
    std::uint64_t highest = 1;
    for (const std::uint64_t count : sample.counts)
        highest = std::max(highest, count);
    const std::uint64_t unit = (highest + MaxByte - 1) / MaxByte;
    std::vector<std::uint8_t> bytes;
    bytes.reserve(sample.counts.size());
    for (const std::uint64_t count : sample.counts)
        bytes.push_back(static_cast<std::uint8_t>((count + unit / 2) / unit));
    return toBytes({{"type", "counts"},
                    {"g", sample.group},
                    {"r", sample.rank},
                    {"e", sample.epoch},
                    {"u", unit},
                    {"c", Json::binary(std::move(bytes))}});
}

std::optional<ExpertCounts> decodeExpertCounts(std::string_view bytes)
{
    const Json json = parseCbor(bytes);
    try {
        if (!json.is_object() || json.at("type") != "counts")
            return std::nullopt;
        ExpertCounts sample;
        json.at("g").get_to(sample.group);
        json.at("r").get_to(sample.rank);
        json.at("e").get_to(sample.epoch);
        const auto unit = json.at("u").get<std::uint64_t>();
        for (const std::uint8_t count : json.at("c").get_binary())
            sample.counts.push_back(count * unit);
        return sample;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
