#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// What is known about the execution of a request.
enum class RunState {
    NotRun, ///< never sent to a backend server
    Running,
    Unknown, ///< sent to a backend server, outcome unknown
    Completed
};

/// Messages of a work stream: one request from an entry to an agent and its answer.
class WorkMessage
{
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    /// First message of the entry.
    struct Request
    {
        std::string requestId;
        std::string account;
        std::string service;
        std::string method;
        std::string path;
        std::string contentType;
        std::string body;
        /// Empty for idempotent calls.
        std::string idempotencyKey;
        bool idempotent = true;
        bool stream = false;
        std::int32_t priority = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t maxTokens = 0;
        /// Index of the first requested event; above 0 when a request is resumed.
        std::uint64_t firstEvent = 0;
        /// The request may only be resumed from a retained tail, never started.
        bool resumeOnly = false;
        std::uint64_t configurationVersion = 0;
        std::uint64_t fingerprint = 0;
        /// Time until the caller's deadline.
        std::chrono::milliseconds remaining{0};
    };

    /// Start of the answer.
    struct Head
    {
        int status = 200;
        Headers headers;
    };

    /// One part of the answer; parts of a request are numbered from 0 without gaps.
    struct Event
    {
        std::uint64_t index = 0;
        std::string data;
    };

    struct End
    {
        std::uint64_t events = 0;
    };

    /// The request did not produce its answer here.
    struct Failure
    {
        RunState run = RunState::Unknown;
        int status = 503;
        std::string code;
        std::string message;
        std::uint64_t configurationVersion = 0;
        std::chrono::milliseconds retryAfter{0};
    };

    using Any = std::variant<Request, Head, Event, End, Failure>;
};

} // namespace Nutmegrill
