#include "Agent/ClaimRecord.h"

#include <vector>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace Nutmegrill {

NLOHMANN_JSON_SERIALIZE_ENUM(ClaimRecord::State, {{ClaimRecord::State::Unknown, "unknown"},
                                                  {ClaimRecord::State::Running, "running"},
                                                  {ClaimRecord::State::Completed, "completed"}})

namespace {

// The body may contain arbitrary bytes, while JSON strings must be UTF-8.
std::string toBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    std::string bytes(3 * (text.size() / 4) + 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace

std::string encodeClaimRecord(const ClaimRecord &record)
{
    nlohmann::ordered_json document;
    document["claimId"] = record.claimId;
    document["agent"] = record.agent;
    document["bodyHash"] = record.bodyHash;
    nlohmann::json state = record.state;
    document["state"] = state.get<std::string>();
    document["runLimitMs"] = record.runLimit.count();
    if (record.state == ClaimRecord::State::Completed) {
        document["status"] = record.status;
        document["headers"] = record.headers;
        if (record.hasBody)
            document["body"] = toBase64(record.body);
    }
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        ClaimRecord record;
        record.claimId = document.at("claimId").get<std::string>();
        record.agent = document.value("agent", "");
        record.bodyHash = document.at("bodyHash").get<std::string>();
        record.state = document.at("state").get<ClaimRecord::State>();
        record.runLimit = std::chrono::milliseconds(document.value("runLimitMs", std::int64_t(0)));
        record.status = document.value("status", 0);
        record.headers = document.value("headers", WorkMessage::Headers());
        if (document.contains("body")) {
            const auto body = fromBase64(document["body"].get<std::string>());
            if (!body.has_value())
                return std::nullopt;
            record.body = *body;
            record.hasBody = true;
        }
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Nutmegrill
