#include "Config/ConfigurationCodec.h"

#include <nlohmann/json.hpp>

namespace Nutmegrill {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FailureDomainState, name, out, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Place, name, failureDomains)
NLOHMANN_JSON_SERIALIZE_ENUM(ServiceDeclaration::Kind, {{ServiceDeclaration::Kind::Plain, "plain"},
                                                        {ServiceDeclaration::Kind::Model, "model"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceDeclaration::Call, method, pathPrefix,
                                                idempotent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceDeclaration, name, kind, model,
                                                failureDomains, warmRequests, coldRequests,
                                                coldSeconds, kvBytes, kvBytesPerToken, checksSender,
                                                checksFencing, calls)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ModelGroup, name, service, failureDomain, ranks,
                                                layers, expertsPerLayer, slotsPerRank, expertBytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClientAccount, name, keyHash, weight, services,
                                                maxQueued, bufferBytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Configuration, version, changeId, author, places,
                                                services, modelGroups, clientAccounts)

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
