#include "Programs/CallerGateway.h"

#include "Core/Hash.h"
#include "Messages/MessageCodec.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::uint64_t DefaultMaxTokens = 256;
constexpr std::uint64_t MaxTokensLimit = 32768;
// Average of common tokenizers for English text; only the engine knows the exact count.
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::size_t MaxRequestIdLength = 96;
constexpr std::chrono::seconds ModelCallTimeout(60);
constexpr std::chrono::seconds ServiceCallTimeout(10);

WorkMessage::Failure refusal(int status, std::string code, std::string message)
{
    WorkMessage::Failure failure;
    failure.run = RunState::NotRun;
    failure.status = status;
    failure.code = std::move(code);
    failure.message = std::move(message);
    return failure;
}

bool isRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxRequestIdLength
           && std::all_of(text.begin(), text.end(), [](unsigned char character) {
                  return std::isalnum(character) != 0 || character == '-' || character == '_'
                         || character == '.';
              });
}

// Parses "agent:index" of the last event that the caller received.
void readLastEventId(std::string_view text, EntryEvent::CallerRequest &parsed)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return;
    const std::string index(text.substr(colon + 1));
    if (index.empty() || index.find_first_not_of("0123456789") != std::string::npos)
        return;
    parsed.resumeAgent = std::string(text.substr(0, colon));
    parsed.request.firstEvent = std::strtoull(index.c_str(), nullptr, 10) + 1;
}

bool mayUse(const ClientAccount &account, const std::string &service)
{
    return std::find(account.services.begin(), account.services.end(), service)
           != account.services.end();
}

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

const ServiceDeclaration::Call *findCall(const ServiceDeclaration &service,
                                         const std::string &method, const std::string &path)
{
    const ServiceDeclaration::Call *best = nullptr;
    for (const ServiceDeclaration::Call &call : service.calls) {
        const bool matches = call.method == method
                             && path.compare(0, call.pathPrefix.size(), call.pathPrefix) == 0;
        if (matches && (best == nullptr || call.pathPrefix.size() > best->pathPrefix.size()))
            best = &call;
    }
    return best;
}

std::uint64_t promptBytes(const Json &document)
{
    if (document.contains("prompt"))
        return document["prompt"].dump().size();
    return document.value("messages", Json::array()).dump().size();
}

} // namespace

CallerGateway::CallerGateway(std::string entryName, std::uint64_t incarnation)
    : entryName(std::move(entryName)), incarnation(incarnation)
{}

const ClientAccount *CallerGateway::authenticate(const HttpServer::Request &request,
                                                 const Configuration &configuration)
{
    const std::string_view header = request.header("authorization");
    if (header.substr(0, BearerPrefix.size()) != BearerPrefix)
        return nullptr;
    return configuration.findAccountByKeyHash(sha256Hex(header.substr(BearerPrefix.size())));
}

HttpServer::Headers CallerGateway::failureHeaders(const WorkMessage::Failure &failure,
                                                  const std::string &requestId)
{
    HttpServer::Headers headers = {{"Content-Type", "application/json"}};
    if (!requestId.empty())
        headers.emplace_back("X-Request-Id", requestId);
    if (failure.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retryAfter);
        headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    return headers;
}

WorkMessage::Failure CallerGateway::unauthorized()
{
    return refusal(401, "unauthorized", "no client account has this bearer key");
}

WorkMessage::Failure CallerGateway::notReady()
{
    WorkMessage::Failure failure = refusal(503, "not_ready", "this entry has no configuration yet");
    failure.retryAfter = std::chrono::seconds(1);
    return failure;
}

CallerGateway::Result CallerGateway::parse(const HttpServer::Request &request,
                                           const Configuration &configuration)
{
    const ClientAccount *account = authenticate(request, configuration);
    if (account == nullptr)
        return unauthorized();
    EntryEvent::CallerRequest parsed;
    parsed.caller = request.id;
    const std::string_view suppliedId = request.header("x-request-id");
    if (!suppliedId.empty() && !isRequestId(suppliedId))
        return refusal(400, "bad_request_id",
                       "X-Request-Id must be 1 to 96 letters, digits, '-', '_' or '.'");
    const std::string id = suppliedId.empty()
                                   ? this->entryName + "-" + std::to_string(this->incarnation) + "-"
                                             + std::to_string(this->nextRequestNumber++)
                                   : std::string(suppliedId);
    // The id contains the account, so that no caller can resume the answer of another account.
    parsed.request.requestId = account->name + "/" + id;
    parsed.request.account = account->name;
    parsed.request.method = request.method;
    parsed.request.body = request.body;
    parsed.request.contentType = std::string(request.header("content-type"));
    readLastEventId(request.header("last-event-id"), parsed);
    if (request.path == CompletionsPath || request.path == ChatPath)
        return this->parseModelCall(request, configuration, std::move(parsed));
    if (request.path.compare(0, ServicesPrefix.size(), ServicesPrefix) == 0)
        return this->parseServiceCall(request, configuration, std::move(parsed));
    return refusal(404, "not_found", "no such path");
}

CallerGateway::Result CallerGateway::parseModelCall(const HttpServer::Request &request,
                                                    const Configuration &configuration,
                                                    EntryEvent::CallerRequest parsed) const
{
    if (request.method != "POST")
        return refusal(405, "method_not_allowed", "use POST");
    const Json document = Json::parse(request.body, nullptr, false);
    if (!document.is_object())
        return refusal(400, "malformed_json", "the body is not a JSON object");
    const bool isChat = request.path == ChatPath;
    if (isChat ? !document.contains("messages") || !document["messages"].is_array()
               : !document.contains("prompt") || !document["prompt"].is_string())
        return refusal(400, "malformed_request",
                       isChat ? "'messages' must be an array" : "'prompt' must be a string");
    try {
        const auto maxTokens = document.value("max_tokens", DefaultMaxTokens);
        if (maxTokens == 0 || maxTokens > MaxTokensLimit)
            return refusal(400, "malformed_request", "'max_tokens' must be from 1 to 32768");
        const ServiceDeclaration *service = configuration.findModel(document.value("model", ""));
        if (service == nullptr)
            return refusal(404, "model_not_found", "no such model");
        if (!mayUse(*configuration.findAccount(parsed.request.account), service->name))
            return refusal(403, "forbidden", "the client account may not use this model");
        parsed.request.service = service->name;
        parsed.request.stream = document.value("stream", false);
        parsed.request.maxTokens = maxTokens;
    } catch (const Json::exception &) {
        return refusal(400, "malformed_request", "a field of the body has the wrong type");
    }
    parsed.request.path = request.path;
    parsed.request.promptTokens = promptBytes(document) / BytesPerToken + 1;
    parsed.request.fingerprint = hash64(parsed.request.account + '\n' + parsed.request.service
                                        + '\n' + request.path + '\n' + request.body);
    parsed.timeLimit = ModelCallTimeout;
    return parsed;
}

CallerGateway::Result CallerGateway::parseServiceCall(const HttpServer::Request &request,
                                                      const Configuration &configuration,
                                                      EntryEvent::CallerRequest parsed) const
{
    const std::string rest = request.path.substr(ServicesPrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    const ServiceDeclaration *service = configuration.findService(name);
    if (service == nullptr || service->kind != ServiceDeclaration::Kind::Plain)
        return refusal(404, "service_not_found", "no such service");
    if (!mayUse(*configuration.findAccount(parsed.request.account), name))
        return refusal(403, "forbidden", "the client account may not use this service");
    const ServiceDeclaration::Call *call = findCall(*service, request.method, path);
    parsed.request.service = name;
    // The raw request target is forwarded, so that percent-encoded characters are preserved.
    parsed.request.path = request.query.empty() ? path : path + "?" + request.query;
    parsed.request.idempotent = call != nullptr ? call->idempotent : isSafeMethod(request.method);
    parsed.request.idempotencyKey = std::string(request.header("idempotency-key"));
    if (!parsed.request.idempotent && parsed.request.idempotencyKey.empty())
        return refusal(400, "idempotency_key_required",
                       "this call is not idempotent and needs an Idempotency-Key header");
    if (parsed.request.idempotent)
        parsed.request.idempotencyKey.clear();
    parsed.request.fingerprint = hash64(parsed.request.account + '\n' + name + '\n' + request.method
                                        + ' ' + path + '\n' + request.body);
    parsed.timeLimit = ServiceCallTimeout;
    return parsed;
}

std::string CallerGateway::failureBody(const WorkMessage::Failure &failure,
                                       const std::string &requestId)
{
    const Json body = {{"error",
                        {{"code", failure.code},
                         {"message", failure.message},
                         {"request_id", requestId},
                         {"run", runStateName(failure.run)}}}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string CallerGateway::modelList(const Configuration &configuration,
                                     const ClientAccount &account)
{
    Json data = Json::array();
    for (const ServiceDeclaration &service : configuration.services) {
        if (service.kind == ServiceDeclaration::Kind::Model && mayUse(account, service.name))
            data.push_back(
                    {{"id", service.model}, {"object", "model"}, {"owned_by", "nutmegrill"}});
    }
    return Json({{"object", "list"}, {"data", data}}).dump();
}

} // namespace Nutmegrill
