#include "RelayShell/StoreFeed.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// A watch without changes is renewed after this time, because a lost watch looks like one without
/// changes. A configuration has to be in force 3 s after the store is back: by then a lost watch
/// has failed, a second later, and was sent again.
constexpr milliseconds WatchTimeout{1500};
/// The first watch, and that after a failed call, is answered at once: the time since the last
/// answer then tells an outage from a call that was cut.
constexpr milliseconds ProbeTimeout{1};
/// Backoff between calls to a store that does not answer. Starts short, because a new entry cannot
/// serve without a configuration; one call per second is little compared with the store's normal
/// load.
constexpr milliseconds MinRetryBackoff{100};
constexpr milliseconds MaxRetryBackoff{1000};
/// What a restored store had lost is written again within about two seconds.
constexpr milliseconds SettleTime{2200};

} // namespace

StoreFeed::StoreFeed(EventLoop &loop, StateStore &store, Observer observer, std::uint64_t seed)
    : loop(loop), store(store), observer(std::move(observer)), random(seed),
      retryBackoff(MinRetryBackoff)
{
    this->readAll();
}

void StoreFeed::readAll()
{
    this->isActive = true;
    this->calledAt = this->loop.now();
    this->store.readAll([this, round = ++this->round](const StateStore::Result &result) {
        if (round != this->round)
            return;
        if (result.status != StateStore::Status::Ok) {
            this->scheduleRetry(result.reason, &StoreFeed::readAll);
            return;
        }
        this->recordSuccess();
        this->reset(result.changes, {result.generation, result.revision});
        this->watch();
    });
}

void StoreFeed::reset(const std::vector<StoreChange> &items, StorePosition position)
{
    const StorePosition before = this->localMirror.position();
    const StoreMirror::Changes changes = this->localMirror.reset(items, position);
    if (this->complete && position.generation > before.generation) {
        this->loop.after(SettleTime, [this, generation = position.generation] {
            // Another restore has put it off.
            if (generation == this->localMirror.position().generation)
                this->settle();
        });
        this->observer.onRestored(before);
    }
    this->complete = true;
    if (!changes.empty())
        this->observer.onChanges(changes);
}

void StoreFeed::settle()
{
    if (const StoreMirror::Changes changes = this->localMirror.settle(); !changes.empty())
        this->observer.onChanges(changes);
}

void StoreFeed::setWatching(bool isWatching)
{
    this->watching = isWatching;
    if (!isWatching || this->isActive)
        return;
    this->hasRecentAnswer = false;
    this->watch();
}

void StoreFeed::recordCall(const StateStore::Result &result)
{
    result.status == StateStore::Status::Failed ? this->recordFailure(result.reason)
                                                : this->recordSuccess();
    // A watch that waits on a silent connection does not notice that the store was restored.
    if (this->complete && this->isActive
        && result.generation > this->localMirror.position().generation)
        this->readAll();
}

void StoreFeed::watch()
{
    this->isActive = this->watching;
    const std::uint64_t watchRound = ++this->round;
    if (!this->isActive)
        return;
    this->calledAt = this->loop.now();
    this->store.watch(this->localMirror.position().revision,
                      this->hasRecentAnswer ? WatchTimeout : ProbeTimeout,
                      [this, watchRound](const StateStore::Result &result) {
                          if (watchRound == this->round)
                              this->handleWatch(result);
                      });
}

void StoreFeed::handleWatch(const StateStore::Result &result)
{
    switch (result.status) {
    case StateStore::Status::Ok: {
        this->recordSuccess();
        // The revision that was watched from belongs to another generation.
        if (result.generation > this->localMirror.position().generation) {
            this->readAll();
            return;
        }
        this->isCompacted = false;
        const auto changes =
                this->localMirror.apply(result.changes, {result.generation, result.revision});
        if (!changes.empty())
            this->observer.onChanges(changes);
        this->watch();
        return;
    }
    case StateStore::Status::HistoryCompacted:
        this->observer.onAnswered();
        // The first time at once; a store that keeps no history would be read in a loop.
        if (std::exchange(this->isCompacted, true))
            this->scheduleRetry("history compacted", &StoreFeed::readAll);
        else
            this->readAll();
        return;
    case StateStore::Status::Failed:
    case StateStore::Status::Conflict:
    case StateStore::Status::LeaseNotFound:
        this->scheduleRetry(result.reason, &StoreFeed::watch);
        return;
    }
}

void StoreFeed::recordSuccess()
{
    // A store that cuts all watches still answers the probes between them.
    if (this->hasRecentAnswer)
        this->retryBackoff = MinRetryBackoff;
    this->hasRecentAnswer = true;
    this->observer.onAnswered();
    if (this->connected)
        return;
    this->connected = true;
    this->observer.onRegained(
            std::chrono::duration_cast<milliseconds>(this->loop.now() - this->lostAt));
}

void StoreFeed::recordFailure(const std::string &reason)
{
    this->hasRecentAnswer = false;
    if (!this->connected)
        return;
    this->connected = false;
    this->lostAt = this->loop.now();
    this->observer.onLost(reason);
}

void StoreFeed::scheduleRetry(const std::string &reason, void (StoreFeed::*retry)())
{
    this->recordFailure(reason);
    // A call that has timed out has already taken longer than the backoff.
    const auto sinceCall =
            std::chrono::duration_cast<milliseconds>(this->loop.now() - this->calledAt);
    const milliseconds delay = std::max(MinRetryBackoff, this->retryBackoff - sinceCall);
    // The calls of all entries fail together, and must not come back together.
    const milliseconds jitter(this->random.below(static_cast<std::uint64_t>(delay.count())));
    this->loop.after(delay / 2 + jitter, [this, retry, retryRound = this->round] {
        if (retryRound == this->round)
            (this->*retry)();
    });
    this->retryBackoff = std::min(this->retryBackoff * 2, MaxRetryBackoff);
}

void StoreFeed::merge(const StoreMirror::Update &update)
{
    const std::uint64_t generation = this->localMirror.position().generation;
    if (update.isWhole) {
        this->reset(update.items, update.position);
    } else if (const auto changes = this->localMirror.apply(update.items, update.position);
               !changes.empty()) {
        this->observer.onChanges(changes);
    }
    if (this->isActive && this->localMirror.position().generation > generation)
        this->watch();
}

} // namespace Nutmegrill
