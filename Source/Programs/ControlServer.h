#pragma once

#include "Net/HttpServer.h"

#include <functional>
#include <map>
#include <string>

namespace Nutmegrill {

class EventLoop;
class Metrics;

/// Control port of a process: /health, /metrics, /dump and what the process adds. Every path but
/// /health requires the deployment key as bearer key.
class ControlServer
{
public:
    struct Answer
    {
        int status = 200;
        std::string contentType = "application/json";
        std::string body;
    };

    using Handler = std::function<Answer(const HttpServer::Request &request)>;

    ControlServer(EventLoop &loop, const std::string &address, std::string deploymentKey,
                  const Metrics &metrics);

    bool isListening() const { return this->server.isListening(); }

    /// Adds "METHOD /path".
    void add(const std::string &methodAndPath, Handler handler);

private:
    void serve(const HttpServer::Request &request);

    std::string deploymentKey;
    std::map<std::string, Handler> handlers;
    HttpServer server;
};

} // namespace Nutmegrill
