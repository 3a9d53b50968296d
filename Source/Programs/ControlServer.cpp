#include "Programs/ControlServer.h"

#include "Net/Metrics.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

constexpr const char *HealthPath = "GET /health";

// Handlers read typed fields of a JSON body. A field of the wrong type is an error of the sender
// and must not terminate the process.
ControlServer::Answer callHandler(const ControlServer::Handler &handler,
                                  const HttpServer::Request &request)
{
    try {
        return handler(request);
    } catch (const nlohmann::json::exception &) {
        return {400, "application/json",
                R"({"error":{"code":"malformed_request","message":"a field has the wrong type"}})"};
    }
}

} // namespace

ControlServer::ControlServer(EventLoop &loop, const std::string &address, std::string deploymentKey,
                             const Metrics &metrics)
    : deploymentKey(std::move(deploymentKey)),
      server(loop, address, {},
             [this](const HttpServer::Request &request) { this->serve(request); })
{
    this->addHandler("GET /metrics", [&metrics](const HttpServer::Request &) {
        return Answer{200, "text/plain; version=0.0.4", metrics.text()};
    });
}

void ControlServer::addHandler(const std::string &methodAndPath, Handler handler)
{
    this->handlers[methodAndPath] = std::move(handler);
}

void ControlServer::serve(const HttpServer::Request &request)
{
    const std::string key = request.method + " " + request.path;
    const auto found = this->handlers.find(key);
    Answer answer;
    if (key != HealthPath && request.header("authorization") != "Bearer " + this->deploymentKey)
        answer = {401, "application/json",
                  R"({"error":{"code":"unauthorized","message":"deployment key required"}})"};
    else if (found == this->handlers.end())
        answer = {404, "application/json",
                  R"({"error":{"code":"not_found","message":"no such control path"}})"};
    else
        answer = callHandler(found->second, request);
    this->server.reply(request.id, answer.status, {{"Content-Type", answer.contentType}},
                       answer.body);
}

} // namespace Nutmegrill
