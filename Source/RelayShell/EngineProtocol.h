#pragma once

#include "Experts/RankState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Wire format of the calls from an agent to the model engine on its machine. Implementations only
/// translate and hold no decision logic.
class EngineProtocol
{
public:
    struct Request
    {
        std::string method;
        std::string target;
        std::string body;
    };

    virtual ~EngineProtocol() = default;

    virtual Request reportRequest() const = 0;
    virtual std::optional<EngineState> readReport(const std::string &body) const = 0;

    virtual Request countsRequest() const = 0;
    virtual std::optional<std::vector<std::uint64_t>> readCounts(const std::string &body) const = 0;

    virtual Request expertsRequest() const = 0;
    /// Expert ids that the rank holds, by layer.
    virtual std::optional<std::vector<std::vector<std::uint32_t>>>
    readExperts(const std::string &body) const = 0;

    virtual Request commandRequest(const EngineCommand &command) const = 0;
    /// \a status is 0 if there was no answer.
    virtual EngineCommandResult readCommandResult(int status) const = 0;
};

} // namespace Nutmegrill
