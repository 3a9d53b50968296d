#include "Groups/LoadMessage.h"

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

constexpr const char *RequestName = "load_wanted";
constexpr const char *ResponseName = "load";

} // namespace

std::string LoadMessage::encode() const
{
    if (!this->tokens.has_value())
        return nlohmann::json::array({RequestName}).dump();
    return nlohmann::json::array({ResponseName, *this->tokens}).dump();
}

std::optional<LoadMessage> LoadMessage::decode(std::string_view document)
{
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (!json.is_array() || json.empty())
        return std::nullopt;
    if (json[0] == RequestName)
        return LoadMessage{};
    if (json[0] != ResponseName || json.size() < 2)
        return std::nullopt;
    try {
        return LoadMessage{json[1].get<Tokens>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
