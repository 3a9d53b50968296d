#pragma once

#include "Relay/AnswerHead.h"
#include "Relay/RelayOrder.h"
#include "Relay/RelayRequest.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

struct HttpHead;

/// What callers and backend servers speak on relayed routes. An implementation translates headers
/// and bodies; it decides nothing.
class RelayProtocol
{
public:
    virtual ~RelayProtocol() = default;

    virtual RelayRequest readRequest(const HttpHead &head) const = 0;

    /// The request as it is sent to a backend server, head and body.
    virtual std::string writeRequest(const HttpHead &head, std::string_view body,
                                     const RelayOrder::StartAttempt &start) const = 0;

    /// Nullopt when the answer belongs to another request than \a requestId.
    virtual std::optional<AnswerHead> readAnswer(const HttpHead &head,
                                                 const std::string &requestId) const = 0;

    /// Headers of an answer of our own to the request \a requestId.
    virtual std::vector<std::pair<std::string, std::string>>
    ownHeaders(const std::string &requestId,
               std::optional<std::chrono::milliseconds> retryAfter) const = 0;

    /// Path that asks whether the entry takes callers.
    virtual std::string_view readinessPath() const = 0;
    /// Path that asks where to connect.
    virtual std::string_view directoryPath() const = 0;
    /// JSON that names the addresses and how long they may be used.
    virtual std::string writeDirectory(const std::vector<std::string> &addresses,
                                       std::chrono::seconds lifetime) const = 0;
};

} // namespace Nutmegrill
