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

/// Answered as a JSON error with the given HTTP status.
class StandInError : public std::runtime_error
{
public:
    StandInError(int status, const std::string &message)
        : std::runtime_error(message), status(status)
    {}

    int status;
};

/// Base of the test doubles: an HTTP server with settings, faults and counters. Every setting is a
/// flag (`--slow-ms 5`) and a member of the object accepted by `POST /faults` (`{"slowMs": 5}`).
class StandIn
{
    std::map<std::string, std::int64_t> numbers;
    std::map<std::string, std::string> texts;

public:
    using Json = nlohmann::json;
    using RequestId = HttpServer::RequestId;

    StandIn(EventLoop &loop, std::string name);
    virtual ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    /// Reads the flags and listens; prints the reason when that fails.
    bool start(const std::vector<std::string> &arguments);

    const std::string &name() const { return this->ownName; }
    const std::string &listenAddress() const { return this->address; }

protected:
    /// Declares a setting; the reference stays valid as long as the stand-in.
    std::int64_t &number(const std::string &flag, std::int64_t initial, const char *description);
    std::string &text(const std::string &flag, const std::string &initial, const char *description);

    virtual void started() {}
    /// \a body is null when the request has none.
    virtual void serve(const HttpServer::Request &request, const Json &body) = 0;
    /// \a changes is the object of POST /faults, already stored in the settings.
    virtual void faultsChanged(const Json &) {}
    virtual void callerGone(RequestId) {}
    virtual Json counters() const = 0;

    void reply(RequestId request, int status, const Json &body);
    /// Runs \a action, turning its exceptions into an error answer.
    void guarded(RequestId request, const std::function<void()> &action);

    EventLoop &loop;
    std::unique_ptr<HttpServer> server;

    /// Empty, "close" (requests are cut off) or "silent" (requests are never answered).
    std::string &down;
    std::int64_t &slowMs;

private:
    struct Flags;

    void receive(const HttpServer::Request &request);
    void changeFaults(RequestId request, const Json &body);

    std::string ownName;
    std::string address;
    std::unique_ptr<Flags> flags;
    std::set<RequestId> unanswered;
};

/// Each stand-in program defines this function.
std::unique_ptr<StandIn> createStandIn(EventLoop &loop);

} // namespace Nutmegrill
