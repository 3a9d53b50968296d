#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Nutmegrill {

/// Requests that began to run in one window, by client account.
using AccountCounts = std::map<std::string, std::uint64_t>;

/// State of a duty in the store, which outlasts its holders. The report of a window is written here
/// before it is sent, so that whoever repeats it sends the same one.
struct DutyRecord
{
    /// Fencing token of the latest holder; it only rises.
    std::uint64_t token = 0;
    /// Start of the process that took the token.
    std::string holder;
    /// The latest window whose report is fixed; 0 if there is none.
    std::uint64_t window = 0;
    AccountCounts counts;

    bool operator==(const DutyRecord &) const = default;
};

} // namespace Nutmegrill
