#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A transaction of the store. If all comparisons are true, the operations in onSuccess are
/// executed atomically, otherwise those in onFailure.
struct StoreTransaction
{
    /// True if the key was last modified at modRevision or, without one, if it has the given value
    /// or, without either, if it does not exist.
    struct Compare
    {
        std::string key;
        std::optional<std::string> value;
        std::optional<std::int64_t> modRevision;
    };

    struct Operation
    {
        enum class Kind { Put, Get, Delete, Nested };
        Kind kind = Kind::Get;
        std::string key;
        std::string value;
        /// Lease that a Put attaches to the key; 0 for none.
        std::int64_t lease = 0;
        /// The single transaction of a Nested operation.
        std::vector<StoreTransaction> nested;
    };

    std::vector<Compare> compares;
    std::vector<Operation> onSuccess;
    std::vector<Operation> onFailure;
};

} // namespace Nutmegrill
