#pragma once

#include "Relay/StorePosition.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Nutmegrill {

/// One change of a key in the store, or its state at a revision.
struct StoreChange
{
    std::string key;
    /// Empty when the key was deleted.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
    /// Read from a store that came back from a copy, and differs from what was known before: its
    /// writer may not have written it again yet.
    bool isDoubtful = false;
};

/// Copy of the part of the store that a process watches. Within a generation of the store, a change
/// is applied only when its revision is newer than the known one of its key, so the copy never
/// reverts to an older state; a later generation replaces it. The mirror also returns the changes
/// after a position, so that entries that cannot reach the store get them from others.
class StoreMirror
{
public:
    /// Changes that were applied, in order.
    using Changes = std::vector<StoreChange>;

    /// Applies a snapshot of all keys that was read at \a position or later: keys that are not in
    /// \a items were deleted. Keys with a known change after \a position keep their value. A
    /// snapshot of an earlier generation is ignored. In one of a later generation, missing keys
    /// count as deleted only after settle().
    Changes reset(const std::vector<StoreChange> &items, StorePosition position);

    /// Applies changes in the order of their revisions, complete up to \a position. Changes of
    /// another generation are ignored.
    Changes apply(const std::vector<StoreChange> &changes, StorePosition position);

    /// The writers have had the time to write again what the store had lost: what it holds now is
    /// valid, also where it differs from what was known before.
    Changes settle();

    /// Position up to which every change is known.
    StorePosition position() const { return this->known; }

    struct Update
    {
        /// The items are a snapshot: keys that are missing do not exist.
        bool isWhole = false;
        std::vector<StoreChange> items;
        StorePosition position;
    };

    /// The changes after \a position, or a snapshot when the log does not reach back that far.
    Update since(StorePosition position) const;

    const std::map<std::string, StoreChange> &items() const { return this->table; }

    /// Deleted keys that are still known.
    std::size_t deletedCount() const { return this->deleted.size(); }

private:
    Changes replace(const std::vector<StoreChange> &items, StorePosition position);
    bool applyIfNewer(const StoreChange &change);

    std::map<std::string, StoreChange> table;
    void recordDeletion(const std::string &key, std::uint64_t revision);

    /// Revisions of the keys that were deleted last, so that an older value is not applied
    /// afterwards, and keys that a restored store brings back are recognized.
    std::map<std::string, std::uint64_t> deleted;
    /// Keys in the order of their deletions.
    std::multimap<std::uint64_t, std::string> deletions;
    /// Highest revision of the deletions that were dropped.
    std::uint64_t droppedDeletions = 0;
    /// Keys that the snapshot of a new generation lacks or has with another value.
    std::set<std::string> doubtful;
    std::deque<StoreChange> log;
    /// The log holds every change after this revision.
    std::uint64_t logStartRevision = 0;
    StorePosition known;
};

} // namespace Nutmegrill
