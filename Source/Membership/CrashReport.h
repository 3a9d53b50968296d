#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// What a process knows about the crashes under one fingerprint, for the other processes and the
/// store.
struct CrashReport
{
    struct Crash
    {
        std::string id;
        std::chrono::milliseconds age{0};
        /// The request had broken at another backend server before it was sent to this one.
        bool isRepeat = false;
    };

    std::uint64_t fingerprint = 0;
    /// Crashes after the last success.
    std::vector<Crash> crashes;
    /// Time since a request with the fingerprint ran well.
    std::optional<std::chrono::milliseconds> sinceSuccess;
    /// Time until the record expires.
    std::chrono::milliseconds remaining{0};
};

} // namespace Nutmegrill
