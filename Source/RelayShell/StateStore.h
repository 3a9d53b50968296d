#pragma once

#include "Relay/StoreMirror.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// The platform's key-value service as the relaying processes use it. Callbacks come from the loop,
/// once each.
class StateStore
{
public:
    enum class Status {
        Ok,
        Failed,      ///< nothing was learned; the call may have been carried out
        Conflict,    ///< a condition did not hold, nothing was done
        HistoryGone, ///< the changes after the revision are no longer kept
        NoLease      ///< the lease has ended
    };

    struct Result
    {
        Status status = Status::Failed;
        std::vector<StoreChange> changes;
        /// Revision of the store; for a write, that of the write.
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
        /// Why the call failed, for the log.
        std::string reason;
    };

    using Done = std::function<void(const Result &result)>;

    virtual ~StateStore() = default;

    /// All keys.
    virtual void readAll(Done done) = 0;
    /// The rows of the instance list, and the configuration; they may be seconds old.
    virtual void readBackends(Done done) = 0;
    virtual void readConfiguration(Done done) = 0;
    /// Waits for changes after \a revision, up to \a wait.
    virtual void watch(std::uint64_t revision, std::chrono::milliseconds wait, Done done) = 0;
    /// Writes a key if its last change was at \a expected (0: it must not exist).
    virtual void write(const std::string &key, const std::string &value, std::uint64_t expected,
                       std::uint64_t lease, Done done) = 0;
    virtual void grantLease(std::chrono::milliseconds lifetime, Done done) = 0;
    virtual void keepLease(std::uint64_t lease, Done done) = 0;
    virtual void endLease(std::uint64_t lease) = 0;
};

} // namespace Nutmegrill
