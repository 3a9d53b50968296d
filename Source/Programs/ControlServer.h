#pragma once

#include "Net/HttpServer.h"

#include <functional>
#include <map>
#include <string>

namespace Nutmegrill {

class EventLoop;
class Metrics;

/// HTTP server on the control port of a process: /metrics, and the paths that the process adds,
/// such as /health and /dump. Every path except /health requires the deployment key as bearer key.
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

    /// Adds the handler of "METHOD /path".
    void addHandler(const std::string &methodAndPath, Handler handler);

private:
    void serve(const HttpServer::Request &request);

    std::string deploymentKey;
    std::map<std::string, Handler> handlers;
    HttpServer server;
};

} // namespace Nutmegrill
