#include "Entry/Continuation.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

std::string_view payloadOf(std::string_view data)
{
    static constexpr std::string_view Field = "data:";
    if (const std::size_t start = data.find(Field); start == 0 || data.find("\ndata:") == start - 1)
        data.remove_prefix(start + Field.size());
    while (!data.empty() && (data.front() == ' ' || data.front() == '\n'))
        data.remove_prefix(1);
    while (!data.empty() && (data.back() == '\n' || data.back() == '\r'))
        data.remove_suffix(1);
    return data;
}

std::string textOf(const Json &choice)
{
    if (const auto text = choice.find("text"); text != choice.end() && text->is_string())
        return text->get<std::string>();
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object())
        return {};
    const auto content = delta->find("content");
    return content != delta->end() && content->is_string() ? content->get<std::string>()
                                                           : std::string();
}

void lowerTokenLimit(Json &body, const char *field, std::uint64_t used)
{
    const auto limit = body.find(field);
    if (limit == body.end() || !limit->is_number_unsigned())
        return;
    const auto tokens = limit->get<std::uint64_t>();
    *limit = std::max<std::uint64_t>(tokens - std::min(tokens, used), 1);
}

} // namespace

Continuation::Part Continuation::read(std::string_view data)
{
    // A line that begins with a colon is a comment, which serves as a keep-alive.
    if (!data.empty() && data.front() == ':')
        return {{}, false, false, true};
    const std::string_view payload = payloadOf(data);
    if (payload == "[DONE]")
        return {{}, true, true, true};
    const Json event = Json::parse(payload, nullptr, false);
    if (!event.is_object())
        return {};
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array())
        return {};
    // An event without choices reports the token usage.
    if (choices->empty())
        return {{}, false, false, true};
    const Json &choice = choices->front();
    if (!choice.is_object())
        return {};
    const auto reason = choice.find("finish_reason");
    return {textOf(choice), reason != choice.end() && reason->is_string(), false, true};
}

bool Continuation::isReproducible(const std::string &body)
{
    const Json document = Json::parse(body, nullptr, false);
    if (!document.is_object())
        return false;
    const auto seed = document.find("seed");
    const auto temperature = document.find("temperature");
    return (seed != document.end() && seed->is_number_integer())
           || (temperature != document.end() && temperature->is_number()
               && temperature->get<double>() == 0.0);
}

std::optional<WorkMessage::Request> Continuation::next(const RequestTable::Row &row)
{
    Json body = Json::parse(row.request.body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    if (body.contains("messages") && body["messages"].is_array()) {
        body["messages"].push_back({{"role", "assistant"}, {"content", row.text}});
        body["continue_final_message"] = true;
    } else if (body.contains("prompt") && body["prompt"].is_string()) {
        body["prompt"] = body["prompt"].get<std::string>() + row.text;
    } else {
        return std::nullopt;
    }
    lowerTokenLimit(body, "max_tokens", row.textEvents);
    lowerTokenLimit(body, "max_completion_tokens", row.textEvents);
    WorkMessage::Request request = row.request;
    request.body = body.dump();
    const std::uint64_t used = std::min(request.maxTokens, row.textEvents);
    request.promptTokens += used;
    request.maxTokens -= used;
    return request;
}

} // namespace Nutmegrill
