#pragma once

#include "Net/StoreError.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Result of a call to the store.
struct StoreResult
{
    struct KeyValue
    {
        std::string key;
        std::string value;
        std::int64_t modRevision = 0;
        std::int64_t createRevision = 0;
    };

    StoreError error = StoreError::None;
    /// Revision of the store at the time of its response.
    std::int64_t revision = 0;
    /// Whether all comparisons of a transaction were true.
    bool succeeded = false;
    /// Keys returned by a read.
    std::vector<KeyValue> keyValues;
    /// Results of the operations of a transaction, in order.
    std::vector<StoreResult> operationResults;
    /// ID of the lease that was granted or kept alive; 0 if it has expired.
    std::int64_t lease = 0;

    bool isOk() const { return this->error == StoreError::None; }
};

} // namespace Nutmegrill
