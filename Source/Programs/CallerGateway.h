#pragma once

#include "Config/Configuration.h"
#include "Entry/EntryEvent.h"
#include "Net/HttpServer.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Nutmegrill {

/// Turns a caller's HTTP request into a request of the entry's decision logic: authentication,
/// limits, endpoints, parsing. It keeps no state but the number of the next generated request id.
class CallerGateway
{
public:
    explicit CallerGateway(std::string entryName, std::uint64_t start);

    using Result = std::variant<EntryEvent::CallerRequest, WorkMessage::Failure>;

    /// The parsed request, or the failure to answer with (never run).
    Result parse(const HttpServer::Request &request, const Configuration &configuration);

    static HttpServer::Headers failureHeaders(const WorkMessage::Failure &failure,
                                              const std::string &requestId);

    /// JSON body of a failure answer.
    static std::string failureBody(const WorkMessage::Failure &failure,
                                   const std::string &requestId);

    /// The failures of a request without the bearer key of a client account, and of an entry
    /// without a configuration.
    static WorkMessage::Failure unauthorized();
    static WorkMessage::Failure notReady();

    /// JSON list of the models that the caller may use.
    static std::string modelList(const Configuration &configuration, const ClientAccount &account);

    /// The client account of the request's bearer key; null when there is none.
    static const ClientAccount *authenticate(const HttpServer::Request &request,
                                             const Configuration &configuration);

private:
    Result parseModelCall(const HttpServer::Request &request, const Configuration &configuration,
                          EntryEvent::CallerRequest parsed) const;
    Result parseServiceCall(const HttpServer::Request &request, const Configuration &configuration,
                            EntryEvent::CallerRequest parsed) const;

    std::string entryName;
    std::uint64_t start;
    std::uint64_t nextRequest = 1;
};

} // namespace Nutmegrill
