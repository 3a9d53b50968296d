#pragma once

#include "Http/HttpListener.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

class EventLoop;

/// Emulates the platform's store on a socket: keys with revisions, paged reads, watches,
/// conditional writes and leases. Tests inject faults through the public members.
class StoreServer
{
public:
    StoreServer(EventLoop &loop, const std::string &address);

    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);
    /// Frees connections that were closed. Needed only when many are opened.
    void tick(Instant now) { this->listener.tick(now); }
    /// Drops the history: watches from earlier revisions get status 410.
    void compact() { this->oldestRevision = this->revision; }
    /// Ends the connections of the watches that wait now.
    void cutWatches();
    std::optional<std::string> valueOf(const std::string &key) const;
    std::uint64_t leaseOf(const std::string &key) const { return this->items.at(key).lease; }

    /// Everything that the store holds, with its counters.
    struct Copy;
    std::shared_ptr<const Copy> copy() const;
    /// Returns to the state of a copy: later revisions and leases are given out again, waiting
    /// watches are cut, and earlier watches get status 410.
    void restore(const Copy &copy);

    /// Maximum number of items in one page.
    std::size_t pageSize = 500;
    /// Status of every answer; 0: calls are processed normally.
    int failureStatus = 0;
    /// Calls are received but never answered, neither those that come meanwhile nor waiting
    /// watches.
    bool isSilent = false;
    /// Waiting watches do not hear of changes.
    bool holdsBackEvents = false;
    /// The body of every answer is truncated to half its length.
    bool isMalformed = false;
    /// Method and target of every call received.
    std::vector<std::string> targets;
    /// The only valid lease; 0: none.
    std::uint64_t validLease = 0;
    /// Number of the next lease.
    std::uint64_t nextLease = 71;

private:
    struct Item
    {
        std::optional<std::string> value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    void serve(const HttpListener::Request &request);
    void reply(HttpListener::RequestId id, int status, const std::string &body);
    void answerRange(const HttpListener::Request &request);
    void answerWatch(HttpListener::RequestId id, std::uint64_t after);
    /// Ends a watch without changes when its time is over.
    void limitWatch(HttpListener::RequestId id, std::chrono::milliseconds timeout);
    void answerTransaction(const HttpListener::Request &request);
    void notifyWatches();

    EventLoop &loop;
    HttpListener listener;
    std::map<std::string, Item> items;
    std::map<HttpListener::RequestId, std::uint64_t> watches;
    /// Numbers of the timers of the waiting watches; a later watch has another one.
    std::map<HttpListener::RequestId, std::uint64_t> watchTimers;
    std::uint64_t nextTimer = 1;
    /// Expires with this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::uint64_t revision = 10;
    std::uint64_t oldestRevision = 0;
    std::uint64_t era = 1;
};

struct StoreServer::Copy
{
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::uint64_t validLease = 0;
    std::uint64_t nextLease = 0;
};

} // namespace Nutmegrill
