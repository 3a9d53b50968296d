#pragma once

#include <string_view>

namespace Nutmegrill {

/// Why a call to the store gave no result.
enum class StoreError {
    None,
    Unreachable, ///< no byte of the call was written, so it took no effect
    AnswerLost,  ///< the call was written; whether it took effect is not known
    Rejected,    ///< the store answered with an error, so the call took no effect
    Malformed    ///< the answer could not be read
};

std::string_view describe(StoreError error);

} // namespace Nutmegrill
