#include "Messages/MessageCodec.h"

#include "Core/Cbor.h"

#include <array>
#include <type_traits>

#include <nlohmann/json.hpp>

NLOHMANN_JSON_NAMESPACE_BEGIN
template <>
struct adl_serializer<std::chrono::milliseconds>
{
    static void to_json(json &document, const std::chrono::milliseconds &span)
    {
        document = span.count();
    }
    static void from_json(const json &document, std::chrono::milliseconds &span)
    {
        span = std::chrono::milliseconds(document.get<std::chrono::milliseconds::rep>());
    }
};
NLOHMANN_JSON_NAMESPACE_END

namespace Nutmegrill {

using State = PeerMessage::BackendStatus::State;
NLOHMANN_JSON_SERIALIZE_ENUM(State, {{State::Down, "down"},
                                     {State::Cold, "cold"},
                                     {State::Warm, "warm"},
                                     {State::Leaving, "leaving"},
                                     {State::Out, "out"}})
NLOHMANN_JSON_SERIALIZE_ENUM(RunState, {{RunState::Unknown, "unknown"},
                                        {RunState::NotRun, "not_run"},
                                        {RunState::Running, "running"},
                                        {RunState::Completed, "completed"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::Hello, process, failureDomain,
                                                deploymentKey, configurationVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::Welcome, agent, service, failureDomain,
                                                incarnation, configurationVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::Demand, queued)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::Grant, startsUpTo, kvBytesFree,
                                                remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::BackendStatus, state, running, limit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::Ack, requestId, nextEvent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::ConfigurationOffer, version, age)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::ConfigurationWanted, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::ConfigurationData, version, document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::PendingTakeOut, failureDomain, epoch,
                                                changeId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::CrashNotice, fingerprint, crashIds,
                                                remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerMessage::MapData, group, document)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkMessage::Request, requestId, account, service,
                                                method, path, contentType, body, idempotencyKey,
                                                idempotent, stream, priority, promptTokens,
                                                maxTokens, firstEvent, resumeOnly,
                                                configurationVersion, fingerprint, remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkMessage::Head, status, headers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkMessage::Event, index, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkMessage::End, events)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkMessage::Failure, run, status, code, message,
                                                configurationVersion, retryAfter)

namespace {

// Names on the wire, in the order of the alternatives of the variant.
constexpr std::array PeerNames = {"hello",       "welcome",  "demand",       "grant",
                                  "status",      "ack",      "config_offer", "config_wanted",
                                  "config_data", "take_out", "crash",        "map"};
constexpr std::array WorkNames = {"request", "head", "event", "end", "failure"};
static_assert(PeerNames.size() == std::variant_size_v<PeerMessage::Any>);
static_assert(WorkNames.size() == std::variant_size_v<WorkMessage::Any>);

template <typename Any, typename Names>
nlohmann::json toJson(const Any &message, const Names &names)
{
    auto document = nlohmann::json::array({names[message.index()]});
    std::visit([&document](const auto &body) { document.push_back(body); }, message);
    return document;
}

template <typename Any, std::size_t Index = 0, typename Names>
std::optional<Any> fromJson(const nlohmann::json &document, const Names &names)
{
    if constexpr (Index < std::variant_size_v<Any>) {
        if (document[0] == names[Index])
            return Any(document[1].template get<std::variant_alternative_t<Index, Any>>());
        return fromJson<Any, Index + 1>(document, names);
    } else {
        return std::nullopt;
    }
}

template <typename Any, typename Names>
std::optional<Any> decode(std::string_view bytes, const Names &names)
{
    const auto document = parseCbor(bytes);
    if (!document.is_array() || document.size() != 2 || !document[1].is_object())
        return std::nullopt;
    try {
        return fromJson<Any>(document, names);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

template <typename Any, typename Names>
std::string encode(const Any &message, const Names &names)
{
    std::string bytes;
    nlohmann::json::to_cbor(toJson(message, names), bytes);
    return bytes;
}

template <typename Any, typename Names>
std::string describe(const Any &message, const Names &names)
{
    return toJson(message, names).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string encodeMessage(const PeerMessage::Any &message)
{
    return encode(message, PeerNames);
}

std::string encodeMessage(const WorkMessage::Any &message)
{
    return encode(message, WorkNames);
}

std::optional<PeerMessage::Any> decodePeerMessage(std::string_view bytes)
{
    return decode<PeerMessage::Any>(bytes, PeerNames);
}

std::optional<WorkMessage::Any> decodeWorkMessage(std::string_view bytes)
{
    return decode<WorkMessage::Any>(bytes, WorkNames);
}

std::string describeMessage(const PeerMessage::Any &message)
{
    return describe(message, PeerNames);
}

std::string describeMessage(const WorkMessage::Any &message)
{
    return describe(message, WorkNames);
}

std::string_view runStateName(RunState run)
{
    static constexpr std::array<std::string_view, 4> Names = {"not_run", "running", "unknown",
                                                              "completed"};
    return Names[static_cast<std::size_t>(run)];
}

} // namespace Nutmegrill
