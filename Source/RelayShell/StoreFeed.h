#pragma once

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Relay/StoreMirror.h"
#include "RelayShell/StateStore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Nutmegrill {

class EventLoop;

/// Keeps a StoreMirror in sync with the store: reads all keys, then watches for changes. Reads all
/// keys again if the store no longer has the history since the last known revision, or came back
/// from an older copy.
class StoreFeed
{
public:
    struct Observer
    {
        std::function<void(const StoreMirror::Changes &changes)> onChanges;
        /// The store has answered a call, before what follows from the answer is reported.
        std::function<void()> onAnswered;
        std::function<void(const std::string &reason)> onLost;
        std::function<void(std::chrono::milliseconds outage)> onRegained;
        /// The store came back from an older copy, whose content is reported next.
        std::function<void(StorePosition before)> onRestored;
    };

    /// \a seed differs between entries.
    StoreFeed(EventLoop &loop, StateStore &store, Observer observer, std::uint64_t seed);

    const StoreMirror &mirror() const { return this->localMirror; }
    bool isComplete() const { return this->complete; }
    /// The last call to the store succeeded.
    bool isConnected() const { return this->connected; }

    /// Whether this entry watches the store. If not, it only reads all keys once and then learns
    /// changes from other entries.
    void setWatching(bool isWatching);

    /// Result of a call to the store that was not made by this feed.
    void recordCall(const StateStore::Result &result);

    /// Applies changes that were received from another entry.
    void merge(const StoreMirror::Update &update);

private:
    void readAll();
    void watch();
    void handleWatch(const StateStore::Result &result);
    void reset(const std::vector<StoreChange> &items, StorePosition position);
    void settle();
    void recordSuccess();
    void recordFailure(const std::string &reason);
    void scheduleRetry(const std::string &reason, void (StoreFeed::*retry)());

    EventLoop &loop;
    StateStore &store;
    Observer observer;
    RandomSource random;
    StoreMirror localMirror;
    bool complete = false;
    bool connected = false;
    bool watching = true;
    /// No call has failed since the last answer, and the store has been watched since then.
    bool hasRecentAnswer = false;
    /// A read, a watch or a retry is under way.
    bool isActive = false;
    /// Number of the last one; what belongs to an earlier one is ignored.
    std::uint64_t round = 0;
    /// The history was gone since the last watch that succeeded.
    bool isCompacted = false;
    Instant lostAt;
    /// When the last read or watch was sent.
    Instant calledAt;
    /// Least time between the starts of two calls while calls fail.
    std::chrono::milliseconds retryBackoff;
};

} // namespace Nutmegrill
