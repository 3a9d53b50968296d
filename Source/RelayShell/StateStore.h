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
        Failed,           ///< no usable answer; a write may have been applied
        Conflict,         ///< a precondition failed, nothing was written
        HistoryCompacted, ///< the store no longer has the changes after the revision
        LeaseNotFound     ///< the lease does not exist or has expired
    };

    struct Result
    {
        Status status = Status::Failed;
        std::vector<StoreChange> changes;
        /// Revision of the store; after a write, the revision of the write.
        std::uint64_t revision = 0;
        /// Rises each time the store comes back from an older copy; revisions and leases of
        /// earlier generations mean nothing. 0 without an answer.
        std::uint64_t generation = 0;
        std::uint64_t lease = 0;
        /// Cause of a failed call, for the log.
        std::string reason;
    };

    using Callback = std::function<void(const Result &result)>;

    virtual ~StateStore() = default;

    /// Reads all keys.
    virtual void readAll(Callback callback) = 0;
    /// Read the records of the backend servers, or the configuration. Stale reads: the result may
    /// be seconds old.
    virtual void readBackends(Callback callback) = 0;
    virtual void readConfiguration(Callback callback) = 0;
    /// Waits up to \a timeout for changes after \a revision. Without an answer it fails a second
    /// later, but no sooner than other calls.
    virtual void watch(std::uint64_t revision, std::chrono::milliseconds timeout,
                       Callback callback) = 0;
    /// Writes a key if its revision is \a expected (0: the key must not exist).
    virtual void write(const std::string &key, const std::string &value, std::uint64_t expected,
                       std::uint64_t lease, Callback callback) = 0;
    virtual void grantLease(std::chrono::milliseconds lifetime, Callback callback) = 0;
    virtual void renewLease(std::uint64_t lease, Callback callback) = 0;
    virtual void revokeLease(std::uint64_t lease) = 0;
};

} // namespace Nutmegrill
