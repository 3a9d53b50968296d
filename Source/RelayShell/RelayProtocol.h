#pragma once

#include "Relay/AnswerHead.h"
#include "Relay/RelayCommand.h"
#include "Relay/RelayRequest.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

struct HttpHead;

/// Wire format of callers and backend servers on relayed routes. Implementations only translate
/// headers and bodies and hold no decision logic.
class RelayProtocol
{
public:
    virtual ~RelayProtocol() = default;

    virtual RelayRequest readRequest(const HttpHead &head) const = 0;

    /// Head and body of the request to a backend server.
    virtual std::string writeRequest(const HttpHead &head, std::string_view body,
                                     const RelayCommand::StartAttempt &command) const = 0;

    /// Nullopt if the answer belongs to a request other than \a requestId.
    virtual std::optional<AnswerHead> readAnswer(const HttpHead &head,
                                                 const std::string &requestId) const = 0;

    /// Headers of an answer that the entry itself gives to request \a requestId.
    virtual std::vector<std::pair<std::string, std::string>>
    ownHeaders(const std::string &requestId,
               std::optional<std::chrono::milliseconds> retryAfter) const = 0;

    /// Path of the readiness check.
    virtual std::string_view readinessPath() const = 0;
    /// Path of the address lookup.
    virtual std::string_view directoryPath() const = 0;
    /// JSON body with the addresses and how long callers may cache them.
    virtual std::string writeDirectory(const std::vector<std::string> &addresses,
                                       std::chrono::seconds lifetime) const = 0;
};

} // namespace Nutmegrill
