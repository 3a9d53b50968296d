#pragma once

#include "Config/Configuration.h"
#include "Entry/EntryEvent.h"
#include "Net/HttpServer.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Nutmegrill {

/// Authenticates, validates and parses callers' HTTP requests into requests for the entry's
/// decision logic. Its only state is the counter for generated request ids.
class CallerGateway
{
public:
    explicit CallerGateway(std::string entryName, std::uint64_t incarnation);

    using Result = std::variant<EntryEvent::CallerRequest, WorkMessage::Failure>;

    /// Returns the parsed request, or the failure to answer with when it is rejected before it
    /// runs.
    Result parse(const HttpServer::Request &request, const Configuration &configuration);

    static HttpServer::Headers failureHeaders(const WorkMessage::Failure &failure,
                                              const std::string &requestId);

    /// JSON body of an error answer.
    static std::string failureBody(const WorkMessage::Failure &failure,
                                   const std::string &requestId);

    /// Failure of a request without the bearer key of a client account, and of a request to an
    /// entry without a configuration.
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
    std::uint64_t incarnation;
    std::uint64_t nextRequestNumber = 1;
};

} // namespace Nutmegrill
