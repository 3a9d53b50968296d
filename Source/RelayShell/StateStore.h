#pragma once

#include "Relay/StoreMirror.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Client interface of the platform's key-value store. Every callback is called exactly once.
class StateStore
{
public:
    enum class Status {
        Ok,
        Failed,      ///< no usable answer; a write may have been applied
        Conflict,    ///< a precondition failed, nothing was written
        HistoryGone, ///< the store no longer has the changes after the revision
        NoLease      ///< the lease does not exist or has expired
    };

    struct Result
    {
        Status status = Status::Failed;
        std::vector<StoreChange> changes;
        /// Revision of the store; after a write, the revision of the write.
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
        /// Cause of a failed call, for the log.
        std::string reason;
    };

    using Done = std::function<void(const Result &result)>;

    virtual ~StateStore() = default;

    /// Reads all keys.
    virtual void readAll(Done callback) = 0;
    /// Read the records of the backend servers, or the configuration. Stale reads: the result may
    /// be seconds old.
    virtual void readBackends(Done callback) = 0;
    virtual void readConfiguration(Done callback) = 0;
    /// Waits up to \a timeout for changes after \a revision.
    virtual void watch(std::uint64_t revision, std::chrono::milliseconds timeout,
                       Done callback) = 0;
    /// Writes a key if its revision is \a expected (0: the key must not exist).
    virtual void write(const std::string &key, const std::string &value, std::uint64_t expected,
                       std::uint64_t lease, Done callback) = 0;
    virtual void grantLease(std::chrono::milliseconds lifetime, Done callback) = 0;
    virtual void keepLease(std::uint64_t lease, Done callback) = 0;
    virtual void endLease(std::uint64_t lease) = 0;
};

} // namespace Nutmegrill
