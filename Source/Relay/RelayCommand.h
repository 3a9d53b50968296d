#pragma once

#include "Core/LogRecord.h"
#include "Core/Time.h"
#include "Membership/CrashReport.h"
#include "Relay/RequestTimes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Commands that the decision logic of a relaying entry returns for the I/O layer to execute.
/// Caller requests and attempts at backend servers are numbered separately.
namespace RelayCommand {

using CallerId = std::uint64_t;
using AttemptId = std::uint64_t;

/// Sends the caller's request to a backend server.
struct StartAttempt
{
    CallerId caller = 0;
    AttemptId attempt = 0;
    std::string backend;
    std::string address;
    /// Name of the client account; empty on public routes.
    std::string account;
    std::chrono::milliseconds timeLeft{0};
    /// Set where the routes to the service differ in priority. 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> lastEvent;
    /// Limit on the open connections of this entry to the backend server. 0: no limit.
    std::uint32_t maxConnections = 0;
};

/// Stops an attempt by closing its connection, and discards its answer.
struct CancelAttempt
{
    AttemptId attempt = 0;
};

/// Answers a request with an error of the entry itself.
struct Refuse
{
    CallerId caller = 0;
    int status = 503;
    std::optional<std::chrono::milliseconds> retryAfter;
    std::string reason;
};

/// Relays the complete answer of an attempt to the caller.
struct RelayAnswer
{
    CallerId caller = 0;
    AttemptId attempt = 0;
};

/// Begins a streamed answer with the head of an attempt's answer.
struct OpenStream
{
    CallerId caller = 0;
    AttemptId attempt = 0;
};

struct SendEvent
{
    CallerId caller = 0;
    std::string bytes;
};

/// Ends a streamed answer as complete.
struct EndStream
{
    CallerId caller = 0;
};

/// Closes the caller's connection, so that the incomplete answer is recognized as such.
struct AbortStream
{
    CallerId caller = 0;
};

/// Finds out whether anything listens at a backend server's address; see
/// RelayNode::backendChecked().
struct CheckBackend
{
    /// Names one start of the backend server.
    std::string incarnation;
    std::string address;
};

/// Writes a crash record to the store, where it outlasts this process.
struct StoreCrashes
{
    CrashReport report;
    /// Revision of the record in the store; 0 if there is none.
    std::uint64_t revision = 0;
};

/// Records where the time of an answered request was spent.
struct RecordTimes
{
    std::string service;
    RequestTimes times;
};

/// A request of the client account began to run at a backend server.
struct RecordRun
{
    std::string account;
    Instant beganAt;
};

/// Counts what became of a second attempt, or that it was held back.
struct CountSecondAttempt
{
    std::string service;
    /// `started`, `won`, `cancelled`, `failed`, `alone` or `suppressed`.
    const char *outcome = "";
    /// Why it was held back; empty for the other outcomes.
    const char *reason = "";
};

struct Log
{
    LogRecord record;
};

using Any = std::variant<StartAttempt, CancelAttempt, Refuse, RelayAnswer, OpenStream, SendEvent,
                         EndStream, AbortStream, CheckBackend, StoreCrashes, RecordTimes, RecordRun,
                         CountSecondAttempt, Log>;
using List = std::vector<Any>;

} // namespace RelayCommand

} // namespace Nutmegrill
