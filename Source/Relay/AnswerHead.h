#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace Nutmegrill {

/// Status and header fields of a backend server's answer that the decision logic uses.
struct AnswerHead
{
    /// Load that a backend server reports in its answers.
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };

    int status = 0;
    /// The backend server states that it did not run the request.
    bool notRun = false;
    /// The address now belongs to another backend server than the expected one.
    bool isMisdirected = false;
    /// The answer can be passed on. Otherwise it is treated as broken.
    bool isUsable = true;
    /// The body has a length or chunks, so that its end is certain.
    bool isFramed = true;
    /// The body is a stream of events.
    bool isStream = false;
    /// The backend server leaves: it takes no new work.
    bool isLeaving = false;
    /// How long the backend server wants no request from this entry.
    std::optional<std::chrono::milliseconds> pause;
    /// The answer names a pause that cannot be read.
    bool hasUnreadablePause = false;
    std::optional<Load> load;
    /// Requests per second that the backend server takes from all entries together for now.
    std::optional<double> requestsPerSecond;
};

} // namespace Nutmegrill
