#pragma once

#include "Core/Time.h"
#include "Entry/EntryEvent.h"

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// Counts the bytes buffered for slow readers, per stream, per client account and for the process.
class StreamBudget
{
public:
    using CallerId = EntryEvent::CallerId;

    struct Limits
    {
        std::uint64_t stream = 0;
        std::uint64_t account = 0;
        std::uint64_t process = 0;
    };

    void update(Instant now, CallerId caller, const std::string &account, std::uint64_t bytes);
    void remove(CallerId caller);

    std::uint64_t bytesOf(CallerId caller) const;
    std::uint64_t processBytes() const { return this->total; }

    /// Whether a stream should be paused now. A paused stream resumes when its buffer has shrunk to
    /// half of the limit.
    bool shouldPause(CallerId caller, bool paused, const Limits &limits) const;

    /// Whether bytes are buffered for a reader that has read some after \a since.
    bool isBeingRead(CallerId caller, Instant since) const;

    /// Whether the reader has read nothing after \a since and the process is short of buffer
    /// memory.
    bool isStalled(CallerId caller, Instant since, const Limits &limits) const;

private:
    struct Row
    {
        std::string account;
        std::uint64_t bytes = 0;
        Instant lastRead;
    };

    std::map<CallerId, Row> rows;
    std::map<std::string, std::uint64_t> accounts;
    std::uint64_t total = 0;
};

} // namespace Nutmegrill
