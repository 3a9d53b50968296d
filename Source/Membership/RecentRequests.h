#pragma once

#include "Messages/WorkMessage.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The most recently finished requests of a process, oldest first, for the state dump and
/// `nutmegrill explain`.
class RecentRequests
{
public:
    struct Row
    {
        std::string requestId;
        std::string account;
        std::string service;
        /// Agent of each attempt, in order.
        std::vector<std::string> starts;
        /// Error code, or "ok".
        std::string code;
        RunState run = RunState::Unknown;
    };

    static constexpr std::size_t MaxRows = 256;
    static constexpr const char *Ok = "ok";

    void add(const WorkMessage::Request &request, std::vector<std::string> starts, std::string code,
             RunState run);

    const std::deque<Row> &rows() const { return this->finished; }

private:
    std::deque<Row> finished;
};

} // namespace Nutmegrill
