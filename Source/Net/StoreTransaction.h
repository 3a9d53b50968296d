#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A compare-and-swap of the store: if every comparison holds, the operations of onSuccess are
/// carried out together, otherwise those of onFailure.
struct StoreTransaction
{
    /// The key must hold \a value; with no value the key must be absent. With a revision, the key
    /// must have been written last at that revision.
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
        /// Lease of a Put; 0: none.
        std::int64_t lease = 0;
        /// One element for Nested.
        std::vector<StoreTransaction> nested;
    };

    std::vector<Compare> compares;
    std::vector<Operation> onSuccess;
    std::vector<Operation> onFailure;
};

} // namespace Nutmegrill
