#pragma once

#include "Core/Time.h"
#include "Relay/StoreMirror.h"
#include "RelayShell/StateStore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Nutmegrill {

class EventLoop;

/// Keeps a StoreMirror up to date from the store: reads everything, then waits for changes, and
/// starts over when the store has dropped its history.
class StoreFeed
{
public:
    struct Observer
    {
        std::function<void(const StoreMirror::Changes &changes)> onChanges;
        std::function<void(const std::string &reason)> onLost;
        std::function<void(std::chrono::milliseconds away)> onRegained;
    };

    StoreFeed(EventLoop &loop, StateStore &store, Observer observer);

    const StoreMirror &mirror() const { return this->copy; }
    bool isComplete() const { return this->complete; }
    /// The last call to the store was answered.
    bool isConnected() const { return this->connected; }

    /// Changes that another entry has told.
    void merge(const StoreMirror::Update &update);

private:
    void readAll();
    void watch();
    void answered();
    void failed(const std::string &reason, void (StoreFeed::*again)());

    EventLoop &loop;
    StateStore &store;
    Observer observer;
    StoreMirror copy;
    bool complete = false;
    bool connected = false;
    Instant lostAt;
    std::chrono::milliseconds retryPause;
};

} // namespace Nutmegrill
