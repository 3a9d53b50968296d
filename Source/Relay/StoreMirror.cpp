#include "Relay/StoreMirror.h"

#include <algorithm>
#include <set>

namespace Nutmegrill {

namespace {

/// Changes kept for other entries. An entry that lags further behind gets a snapshot.
constexpr std::size_t MaxLogLength = 512;

} // namespace

bool StoreMirror::applyIfNewer(const StoreChange &change)
{
    const auto found = this->table.find(change.key);
    if (found != this->table.end() && found->second.revision >= change.revision)
        return false;
    const auto deletion = this->deleted.find(change.key);
    if (deletion != this->deleted.end() && deletion->second >= change.revision)
        return false;
    if (change.value) {
        this->table.insert_or_assign(change.key, change);
        this->deleted.erase(change.key);
        return true;
    }
    this->deleted.insert_or_assign(change.key, change.revision);
    return this->table.erase(change.key) > 0;
}

StoreMirror::Changes StoreMirror::reset(const std::vector<StoreChange> &items,
                                        std::uint64_t revision)
{
    Changes changes;
    std::set<std::string> present;
    for (const StoreChange &item : items) {
        present.insert(item.key);
        if (this->applyIfNewer(item))
            changes.push_back(item);
    }
    for (auto entry = this->table.begin(); entry != this->table.end();) {
        if (present.count(entry->first) != 0 || entry->second.revision > revision) {
            ++entry;
            continue;
        }
        changes.push_back({entry->first, std::nullopt, revision});
        this->deleted.insert_or_assign(entry->first, revision);
        entry = this->table.erase(entry);
    }
    this->knownRevision = std::max(this->knownRevision, revision);
    // The individual changes between the old state and the snapshot are unknown.
    this->log.clear();
    this->logStartRevision = this->knownRevision;
    return changes;
}

StoreMirror::Changes StoreMirror::apply(const std::vector<StoreChange> &changes,
                                        std::uint64_t revision)
{
    Changes applied;
    for (const StoreChange &change : changes) {
        if (this->applyIfNewer(change))
            applied.push_back(change);
        if (change.revision > this->knownRevision)
            this->log.push_back(change);
    }
    this->knownRevision = std::max(this->knownRevision, revision);
    while (this->log.size() > MaxLogLength) {
        this->logStartRevision = this->log.front().revision;
        this->log.pop_front();
    }
    return applied;
}

StoreMirror::Update StoreMirror::since(std::uint64_t revision) const
{
    Update update;
    update.revision = this->knownRevision;
    update.isWhole = revision < this->logStartRevision;
    if (update.isWhole) {
        for (const auto &[key, item] : this->table)
            update.items.push_back(item);
        return update;
    }
    for (const StoreChange &change : this->log) {
        if (change.revision > revision)
            update.items.push_back(change);
    }
    return update;
}

} // namespace Nutmegrill
