#include "RelayShell/StoreFeed.h"

#include "Net/EventLoop.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// A watch without changes is renewed after this time. TCP keep-alive probes detect dead
/// connections earlier.
constexpr milliseconds WatchTimeout{20000};
/// Backoff between calls to a store that does not answer. Starts short, because a new entry cannot
/// serve without a configuration; one call per second is little compared with the store's normal
/// load.
constexpr milliseconds MinRetryBackoff{100};
constexpr milliseconds MaxRetryBackoff{1000};

} // namespace

StoreFeed::StoreFeed(EventLoop &loop, StateStore &store, Observer observer)
    : loop(loop), store(store), observer(std::move(observer)), retryBackoff(MinRetryBackoff)
{
    this->readAll();
}

void StoreFeed::readAll()
{
    this->isActive = true;
    this->store.readAll([this](const StateStore::Result &result) {
        if (result.status != StateStore::Status::Ok) {
            this->scheduleRetry(result.reason, &StoreFeed::readAll);
            return;
        }
        this->recordSuccess();
        const StoreMirror::Changes changes =
                this->localMirror.reset(result.changes, result.revision);
        this->complete = true;
        this->observer.onChanges(changes);
        this->watch();
    });
}

void StoreFeed::setWatching(bool isWatching)
{
    this->watching = isWatching;
    if (isWatching && !this->isActive)
        this->watch();
}

void StoreFeed::recordCall(const StateStore::Result &result)
{
    result.status == StateStore::Status::Failed ? this->recordFailure(result.reason)
                                                : this->recordSuccess();
}

void StoreFeed::watch()
{
    this->isActive = this->watching;
    if (!this->isActive)
        return;
    this->store.watch(
            this->localMirror.revision(), WatchTimeout, [this](const StateStore::Result &result) {
                switch (result.status) {
                case StateStore::Status::Ok: {
                    this->recordSuccess();
                    const auto changes = this->localMirror.apply(result.changes, result.revision);
                    if (!changes.empty())
                        this->observer.onChanges(changes);
                    this->watch();
                    return;
                }
                case StateStore::Status::HistoryCompacted:
                    this->readAll();
                    return;
                case StateStore::Status::Failed:
                case StateStore::Status::Conflict:
                case StateStore::Status::LeaseNotFound:
                    this->scheduleRetry(result.reason, &StoreFeed::watch);
                    return;
                }
            });
}

void StoreFeed::recordSuccess()
{
    this->retryBackoff = MinRetryBackoff;
    if (this->connected)
        return;
    this->connected = true;
    this->observer.onRegained(
            std::chrono::duration_cast<milliseconds>(this->loop.now() - this->lostAt));
}

void StoreFeed::recordFailure(const std::string &reason)
{
    if (!this->connected)
        return;
    this->connected = false;
    this->lostAt = this->loop.now();
    this->observer.onLost(reason);
}

void StoreFeed::scheduleRetry(const std::string &reason, void (StoreFeed::*retry)())
{
    this->recordFailure(reason);
    this->loop.after(this->retryBackoff, [this, retry] { (this->*retry)(); });
    this->retryBackoff = std::min(this->retryBackoff * 2, MaxRetryBackoff);
}

void StoreFeed::merge(const StoreMirror::Update &update)
{
    const auto changes = update.isWhole ? this->localMirror.reset(update.items, update.revision)
                                        : this->localMirror.apply(update.items, update.revision);
    this->complete = this->complete || update.revision > 0;
    if (!changes.empty())
        this->observer.onChanges(changes);
}

} // namespace Nutmegrill
