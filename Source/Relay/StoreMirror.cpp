#include "Relay/StoreMirror.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

/// Changes kept for other entries. An entry that lags further behind gets a snapshot.
constexpr std::size_t MaxLogLength = 512;
/// Deleted keys that are remembered. Backend servers get a new key at each start, so there is no
/// end to them.
constexpr std::size_t MaxDeletedKeys = 4096;

} // namespace

bool StoreMirror::applyIfNewer(const StoreChange &change)
{
    const auto found = this->table.find(change.key);
    if (found != this->table.end() && found->second.revision >= change.revision)
        return false;
    const auto deletion = this->deleted.find(change.key);
    if (deletion != this->deleted.end() && deletion->second >= change.revision)
        return false;
    // A key without a value that is older than a dropped deletion may be the one that was deleted.
    if (found == this->table.end() && change.value && change.revision <= this->droppedDeletions)
        return false;
    const bool wasDoubtful = this->doubtful.erase(change.key) > 0;
    if (change.value) {
        this->table.insert_or_assign(change.key, change);
        this->deleted.erase(change.key);
        return true;
    }
    this->recordDeletion(change.key, change.revision);
    return this->table.erase(change.key) > 0 || wasDoubtful;
}

void StoreMirror::recordDeletion(const std::string &key, std::uint64_t revision)
{
    this->deleted.insert_or_assign(key, revision);
    this->deletions.emplace(revision, key);
    while (this->deletions.size() > MaxDeletedKeys) {
        const auto oldest = this->deletions.begin();
        const auto found = this->deleted.find(oldest->second);
        // The key may have been written and deleted again.
        if (found != this->deleted.end() && found->second == oldest->first) {
            this->droppedDeletions = std::max(this->droppedDeletions, oldest->first);
            this->deleted.erase(found);
        }
        this->deletions.erase(oldest);
    }
}

StoreMirror::Changes StoreMirror::reset(const std::vector<StoreChange> &items,
                                        StorePosition position)
{
    if (position.generation < this->known.generation)
        return {};
    if (position.generation > this->known.generation)
        return this->replace(items, position);
    Changes changes;
    std::set<std::string> present;
    for (const StoreChange &item : items) {
        present.insert(item.key);
        if (this->applyIfNewer(item))
            changes.push_back(item);
    }
    for (auto entry = this->table.begin(); entry != this->table.end();) {
        if (present.count(entry->first) != 0 || entry->second.revision > position.revision) {
            ++entry;
            continue;
        }
        changes.push_back({entry->first, std::nullopt, position.revision});
        this->recordDeletion(entry->first, position.revision);
        entry = this->table.erase(entry);
    }
    this->known = std::max(this->known, position);
    // The individual changes between the old state and the snapshot are unknown.
    this->log.clear();
    this->logStartRevision = this->known.revision;
    return changes;
}

StoreMirror::Changes StoreMirror::replace(const std::vector<StoreChange> &items,
                                          StorePosition position)
{
    const auto before = std::exchange(this->table, {});
    const auto deletedBefore = std::exchange(this->deleted, {});
    this->deletions.clear();
    this->droppedDeletions = 0;
    Changes changes;
    for (const StoreChange &item : items) {
        const auto found = before.find(item.key);
        const bool isSame = found == before.end() ? deletedBefore.count(item.key) == 0
                                                  : found->second.value == item.value;
        // Doubts of an earlier restore that was not settled remain.
        if (!isSame)
            this->doubtful.insert(item.key);
        this->table.insert_or_assign(item.key, item);
        changes.push_back(item);
        changes.back().isDoubtful = this->doubtful.count(item.key) != 0;
    }
    for (const auto &[key, item] : before) {
        if (this->table.count(key) == 0)
            this->doubtful.insert(key);
    }
    this->known = position;
    this->log.clear();
    this->logStartRevision = position.revision;
    return changes;
}

StoreMirror::Changes StoreMirror::settle()
{
    Changes changes;
    for (const std::string &key : std::exchange(this->doubtful, {})) {
        const auto found = this->table.find(key);
        changes.push_back(found == this->table.end()
                                  ? StoreChange{key, std::nullopt, this->known.revision}
                                  : found->second);
    }
    return changes;
}

StoreMirror::Changes StoreMirror::apply(const std::vector<StoreChange> &changes,
                                        StorePosition position)
{
    Changes applied;
    if (position.generation != this->known.generation)
        return applied;
    for (const StoreChange &change : changes) {
        if (this->applyIfNewer(change))
            applied.push_back(change);
        if (change.revision > this->known.revision)
            this->log.push_back(change);
    }
    this->known = std::max(this->known, position);
    while (this->log.size() > MaxLogLength) {
        this->logStartRevision = this->log.front().revision;
        this->log.pop_front();
    }
    return applied;
}

StoreMirror::Update StoreMirror::since(StorePosition position) const
{
    Update update;
    update.position = this->known;
    update.isWhole = position < StorePosition{this->known.generation, this->logStartRevision};
    if (update.isWhole) {
        for (const auto &[key, item] : this->table)
            update.items.push_back(item);
        return update;
    }
    for (const StoreChange &change : this->log) {
        if (position < StorePosition{this->known.generation, change.revision})
            update.items.push_back(change);
    }
    return update;
}

} // namespace Nutmegrill
