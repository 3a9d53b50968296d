#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// One change of a key in the store, or its state at a revision.
struct StoreChange
{
    std::string key;
    /// Nothing: the key was deleted.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// Copy of the part of the store that a process watches. It never goes back: a change is taken only
/// when it is newer than what is known of its key. It can tell another process the changes after a
/// revision, so that entries that the store turns away learn from those that it serves.
class StoreMirror
{
public:
    /// Changes that were new, in order.
    using Changes = std::vector<StoreChange>;

    /// State of all keys, read at \a revision at the earliest: keys that are not in \a items were
    /// deleted before it. Keys that changed later keep what is known.
    Changes reset(const std::vector<StoreChange> &items, std::uint64_t revision);

    /// Changes in the order of their revisions, complete up to \a revision.
    Changes apply(const std::vector<StoreChange> &changes, std::uint64_t revision);

    /// Every change up to here is known.
    std::uint64_t revision() const { return this->known; }

    struct Update
    {
        /// The items are the whole state; keys that are missing do not exist.
        bool isWhole = false;
        std::vector<StoreChange> items;
        std::uint64_t revision = 0;
    };

    /// What a process that knows everything up to \a revision lacks.
    Update since(std::uint64_t revision) const;

    const std::map<std::string, StoreChange> &items() const { return this->table; }

private:
    bool take(const StoreChange &change);

    std::map<std::string, StoreChange> table;
    /// Revisions of deleted keys, so that an older value is not taken again.
    std::map<std::string, std::uint64_t> deleted;
    std::deque<StoreChange> log;
    /// The log holds every change after this revision.
    std::uint64_t logStart = 0;
    std::uint64_t known = 0;
};

} // namespace Nutmegrill
