#pragma once

#include "Net/StoreResult.h"
#include "Net/StoreTransaction.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Nutmegrill {

class EventLoop;
class HttpClient;

/// Client of the platform's key-value store, which is accessed through the etcd v3 JSON gateway.
/// All callbacks are called from the event loop; that of a single call is called exactly once.
class StoreClient
{
public:
    using ResultHandler = std::function<void(const StoreResult &result)>;

    /// Calls without a response within \a timeout fail with StoreError::AnswerLost.
    StoreClient(EventLoop &loop, std::string address, std::chrono::milliseconds timeout);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Linearizable read of one key.
    void read(const std::string &key, ResultHandler done);

    void transact(const StoreTransaction &transaction, ResultHandler done);

    void grantLease(std::chrono::seconds lifetime, ResultHandler done);
    void keepLeaseAlive(std::int64_t lease, ResultHandler done);
    void revokeLease(std::int64_t lease, ResultHandler done);

    /// Calls \a onChange on each change of the key after \a afterRevision, with the new value or,
    /// after a deletion, without one. Calls \a onBroken once when the watch has ended.
    void watch(const std::string &key, std::int64_t afterRevision, ResultHandler onChange,
               std::function<void()> onBroken);

    /// Number of calls made so far; a watch counts as one.
    std::uint64_t callCount() const { return this->calls; }

private:
    struct Watch;

    void post(const std::string &path, const std::string &body,
              std::function<void(StoreError error, const std::string &body)> done);

    EventLoop &loop;
    std::string address;
    std::chrono::milliseconds callTimeout;
    std::unique_ptr<HttpClient> http;
    std::uint64_t calls = 0;
};

} // namespace Nutmegrill
