#pragma once

#include "Net/HttpServer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

class EventLoop;

/// Error of a request; the stand-in answers it with this HTTP status and a JSON error body.
class StandInError : public std::runtime_error
{
public:
    StandInError(int status, const std::string &message)
        : std::runtime_error(message), status(status)
    {}

    int status;
};

/// Base of the test doubles: an HTTP server with settings, faults and counters. Every setting is a
/// flag (`--slow-ms 5`) and a member of the JSON object that `POST /faults` accepts
/// (`{"slowMs": 5}`).
class StandIn
{
    std::map<std::string, std::int64_t> numberSettings;
    std::map<std::string, std::string> textSettings;

public:
    using Json = nlohmann::json;
    using RequestId = HttpServer::RequestId;

    StandIn(EventLoop &loop, std::string name);
    virtual ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    /// Parses the flags and listens. Returns false after printing the reason for a failure.
    bool start(const std::vector<std::string> &arguments);

    const std::string &name() const { return this->programName; }
    const std::string &listenAddress() const { return this->address; }

protected:
    /// Declares a setting and returns a reference to its value, valid for the life of the stand-in.
    std::int64_t &numberSetting(const std::string &flag, std::int64_t initial,
                                const char *description);
    std::string &textSetting(const std::string &flag, const std::string &initial,
                             const char *description);

    /// Called once the server listens.
    virtual void started() {}
    /// Handles a request; \a body is null when the request has none.
    virtual void serve(const HttpServer::Request &request, const Json &body) = 0;
    /// Called after POST /faults; \a changes is its object, already stored in the settings.
    virtual void faultsChanged(const Json &) {}
    /// Called when a client disconnects before its answer is complete.
    virtual void callerDisconnected(RequestId) {}
    /// Answer of GET /counters.
    virtual Json counters() const = 0;

    void reply(RequestId request, int status, const Json &body);
    /// Runs \a action and answers the request with an error if it throws.
    void handleErrors(RequestId request, const std::function<void()> &action);

    EventLoop &loop;
    std::unique_ptr<HttpServer> server;

    /// Simulated outage: empty (none), "close" (resets each request) or "silent" (never answers).
    std::string &down;
    /// Delay before each request is handled.
    std::int64_t &slowMs;

private:
    struct Flags;

    void receive(const HttpServer::Request &request);
    void changeFaults(RequestId request, const Json &body);

    std::string programName;
    std::string address;
    std::unique_ptr<Flags> flags;
    std::set<RequestId> unanswered;
};

/// Each stand-in program defines this function.
std::unique_ptr<StandIn> createStandIn(EventLoop &loop);

} // namespace Nutmegrill
