#include "Programs/RankEngine.h"

#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

constexpr std::chrono::seconds IdleTimeout(2);

} // namespace

RankEngine::RankEngine(EventLoop &loop, std::string address, std::uint32_t rank)
    : address(std::move(address)), path("/ranks/" + std::to_string(rank)), http(loop)
{}

void RankEngine::read(const ReadDone &done)
{
    HttpClient::Request request;
    request.path = this->path + "/state";
    request.idleTimeout = IdleTimeout;
    this->http.fetch(this->address, request, [done](int status, const std::string &body) {
        const auto document = nlohmann::json::parse(body, nullptr, false);
        if (status != 200 || !document.is_object()) {
            done(std::nullopt);
            return;
        }
        State state;
        try {
            state.step = document.at("step").get<std::uint64_t>();
            state.epoch = document.at("epoch").get<std::uint64_t>();
            state.holdAt = document.at("holdAt").get<std::uint64_t>();
            state.fence = document.at("fence").get<std::uint64_t>();
        } catch (const nlohmann::json::exception &) {
            done(std::nullopt);
            return;
        }
        done(state);
    });
}

void RankEngine::readLoad(const LoadDone &done)
{
    HttpClient::Request request;
    request.path = this->path + "/load";
    request.idleTimeout = IdleTimeout;
    this->http.fetch(this->address, request, [done](int status, const std::string &body) {
        std::optional<Tokens> tokens;
        try {
            if (status == 200)
                tokens = nlohmann::json::parse(body).at("tokens").get<Tokens>();
        } catch (const nlohmann::json::exception &) {
            tokens.reset();
        }
        done(tokens);
    });
}

void RankEngine::hold(std::uint64_t step, std::uint64_t fence, const CommandDone &done)
{
    this->sendCommand("/hold", nlohmann::json{{"step", step}, {"fence", fence}}.dump(), done);
}

void RankEngine::useMap(std::uint64_t epoch, std::uint64_t fromStep, std::uint64_t fence,
                        const CommandDone &done)
{
    const nlohmann::json body = {{"epoch", epoch}, {"fromStep", fromStep}, {"fence", fence}};
    this->sendCommand("/map", body.dump(), done);
}

void RankEngine::skipTo(std::uint64_t step, std::uint64_t fence, const CommandDone &done)
{
    this->sendCommand("/skip", nlohmann::json{{"step", step}, {"fence", fence}}.dump(), done);
}

void RankEngine::sendCommand(const std::string &action, const std::string &body,
                             const CommandDone &done)
{
    HttpClient::Request request;
    request.method = "POST";
    request.path = this->path + action;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    request.idleTimeout = IdleTimeout;
    this->http.fetch(this->address, request,
                     [done](int status, const std::string &) { done(status == 200); });
}

} // namespace Nutmegrill
