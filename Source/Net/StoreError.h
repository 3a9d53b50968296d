#pragma once

#include <string_view>

namespace Nutmegrill {

/// Why a call to the store failed.
enum class StoreError {
    None,
    Unreachable, ///< no byte of the request was sent, so the call took no effect
    AnswerLost,  ///< no complete response arrived; whether the call took effect is unknown
    Rejected,    ///< the store returned an error, so the call took no effect
    Malformed    ///< the response could not be parsed
};

std::string_view describe(StoreError error);

} // namespace Nutmegrill
