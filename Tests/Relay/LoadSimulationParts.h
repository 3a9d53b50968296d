#pragma once

#include "LoadSimulation.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

inline constexpr std::uint32_t RankSlots = 12;
inline constexpr std::size_t PlainServers = 3;
inline constexpr std::uint32_t PlainSlots = 6;
inline constexpr std::size_t Accounts = 10;
inline constexpr std::chrono::milliseconds NetworkDelay{1};

/// Properties of one kind of request.
struct LoadKind
{
    const char *name;
    /// Arrivals per second on a day with low load at the first site.
    double rate;
    std::chrono::milliseconds deadline;
    std::chrono::milliseconds target;
    bool isStream;
    bool mayRunAgain;
};

inline constexpr std::array<LoadKind, 3> LoadKinds = {
        {{"brief", 47.0, std::chrono::milliseconds(8000), std::chrono::milliseconds(400), true,
          true},
         {"record", 4.0, std::chrono::milliseconds(1500), std::chrono::milliseconds(300), false,
          false},
         {"lookup", 2.5, std::chrono::milliseconds(1500), std::chrono::milliseconds(300), false,
          true}}};

inline std::string accountName(std::size_t number)
{
    return "account-" + std::to_string(number);
}

/// One request of a caller with its repeats.
struct LoadSimulation::Caller
{
    std::size_t kind = 0;
    std::size_t account = 0;
    Instant firstAt;
    Instant deadline;
    std::uint32_t repeatsLeft = 1;
    bool repeatsAtOnce = false;
    std::size_t entry = 0;
    RelayCommand::CallerId id = 0;
    /// Number of the open attempt; 0 when none is open.
    std::uint32_t attempt = 0;
    std::uint32_t attempts = 0;
    Instant attemptAt;
    Instant lastEventAt;
    std::optional<std::uint64_t> lastEvent;
    std::vector<std::string> sharedParts;
    std::uint64_t content = 0;
    bool crashesServers = false;
    bool isLate = false;
    bool isClosed = false;
    bool isCounted = true;
};

/// A relaying entry; the node is null while it is stopped.
struct LoadSimulation::Entry
{
    std::unique_ptr<RelayNode> node;
    /// Number of starts; identifies messages to an earlier start.
    std::uint32_t start = 0;
    std::uint64_t sequence = 0;
};

/// An attempt at a backend server.
struct LoadSimulation::Work
{
    std::size_t entry = 0;
    std::uint32_t start = 0;
    RelayCommand::AttemptId attempt = 0;
    std::string backend;
    std::uint64_t nextEvent = 1;
    bool crashesServer = false;
    bool hasHead = false;

    bool isSame(const Work &other) const
    {
        return this->entry == other.entry && this->attempt == other.attempt
               && this->start == other.start;
    }
};

struct LoadSimulation::Backend
{
    std::string id;
    bool isRank = false;
    bool isUnreachable = false;
    bool isFlaky = false;
    bool isCrashed = false;
    bool namesLimit = false;
    /// By start of an entry: when it was first asked for the pause that lasts, the end of it, and
    /// the requests meanwhile.
    struct Pause
    {
        Instant since;
        Instant end;
        std::uint32_t requests = 0;
    };
    std::map<std::pair<std::size_t, std::uint32_t>, Pause> pauses;
    /// When each start of an entry first got an answer which said that the server leaves.
    std::map<std::pair<std::size_t, std::uint32_t>, Instant> leavingToldAt;
    Instant firstNamedAt = NoDeadline;
    /// When each entry first got an answer with the limit.
    std::map<std::size_t, Instant> toldAt;
    /// Arrivals from entries that knew the limit.
    std::deque<Instant> toldArrivals;
    std::uint64_t incarnation = 1;
    std::uint32_t slots = 1;
    std::deque<Work> running;
    std::deque<Work> queue;

    BackendRecord record() const;
};

} // namespace Nutmegrill
