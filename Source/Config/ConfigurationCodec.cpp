#include "Config/ConfigurationCodec.h"

#include <nlohmann/json.hpp>

namespace nlohmann {

/// Encodes durations as whole milliseconds.
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

/// Encodes an absent value as null.
template <typename Value>
struct adl_serializer<std::optional<Value>>
{
    static void to_json(json &document, const std::optional<Value> &value)
    {
        document = value ? json(*value) : json(nullptr);
    }
    static void from_json(const json &document, std::optional<Value> &value)
    {
        value = document.is_null() ? std::nullopt : std::optional(document.get<Value>());
    }
};

} // namespace nlohmann

namespace Nutmegrill {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FailureDomainState, name, out, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Place, name, failureDomains)
NLOHMANN_JSON_SERIALIZE_ENUM(ServiceDeclaration::Kind, {{ServiceDeclaration::Kind::Plain, "plain"},
                                                        {ServiceDeclaration::Kind::Model, "model"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceDeclaration::Call, method, pathPrefix,
                                                idempotent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExpertProfile, layers, count, placesPerRank,
                                                loadsPerChange, bytes, copyRate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceDeclaration, name, kind, model,
                                                failureDomains, warmRequests, coldRequests,
                                                coldSeconds, kvBytes, kvBytesPerToken, checksSender,
                                                checksFencing, calls, maxConnections,
                                                coldRequestsPerSecond, experts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ModelGroup, name, service, failureDomain, ranks,
                                                layers, expertsPerLayer, slotsPerRank, expertBytes)
NLOHMANN_JSON_SERIALIZE_ENUM(Route::Kind, {{Route::Kind::NonIdempotent, "nonIdempotent"},
                                           {Route::Kind::Idempotent, "idempotent"},
                                           {Route::Kind::Stream, "stream"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Route::Target, service, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Route, name, host, pathPrefix, kind, targets,
                                                timeout, latencyTarget, pauseTarget, maxRuns,
                                                priority, isPublic, isResumable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerLimits, headerBytes, bodyBytes, headerTime,
                                                idleTime)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClientAccount, name, keyHash, weight, services,
                                                maxQueued, bufferBytes, furtherKeyHashes, priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Configuration, version, changeId, author, places,
                                                services, modelGroups, clientAccounts, routes,
                                                callerLimits)

std::string encodeConfiguration(const Configuration &configuration)
{
    return nlohmann::json(configuration).dump();
}

std::optional<Configuration> decodeConfiguration(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        return document.get<Configuration>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
