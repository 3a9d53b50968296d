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
    /// Empty when the key was deleted.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// Copy of the part of the store that a process watches. A change is applied only when its revision
/// is newer than the known one of its key, so the copy never reverts to an older state. It also
/// returns the changes after a revision, so that entries that cannot reach the store get them from
/// others.
class StoreMirror
{
public:
    /// Changes that were applied, in order.
    using Changes = std::vector<StoreChange>;

    /// Applies a snapshot of all keys that was read at \a revision or later: keys that are not in
    /// \a items were deleted. Keys with a known change after \a revision keep their value.
    Changes reset(const std::vector<StoreChange> &items, std::uint64_t revision);

    /// Applies changes in the order of their revisions, complete up to \a revision.
    Changes apply(const std::vector<StoreChange> &changes, std::uint64_t revision);

    /// Revision up to which every change is known.
    std::uint64_t revision() const { return this->knownRevision; }

    struct Update
    {
        /// The items are a snapshot: keys that are missing do not exist.
        bool isWhole = false;
        std::vector<StoreChange> items;
        std::uint64_t revision = 0;
    };

    /// The changes after \a revision, or a snapshot when the log does not reach back that far.
    Update since(std::uint64_t revision) const;

    const std::map<std::string, StoreChange> &items() const { return this->table; }

private:
    bool applyIfNewer(const StoreChange &change);

    std::map<std::string, StoreChange> table;
    /// Revisions of deleted keys, so that an older value is not applied afterwards.
    std::map<std::string, std::uint64_t> deleted;
    std::deque<StoreChange> log;
    /// The log holds every change after this revision.
    std::uint64_t logStartRevision = 0;
    std::uint64_t knownRevision = 0;
};

} // namespace Nutmegrill
