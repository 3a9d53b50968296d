#pragma once

#include <string>

namespace Nutmegrill {

/// Why an operator's command failed; each kind has an exit code of its own.
struct OperatorError
{
    enum class Kind {
        Usage,        ///< wrong words or flags
        Declarations, ///< the declarations have errors; nothing was published
        StoreUnreachable,
        Conflict,       ///< another operator's change came first
        OutcomeUnknown, ///< the change may have been published
        NoAnswer,       ///< a process did not answer
        Refused         ///< the change cannot be made
    };

    Kind kind = Kind::Usage;
    std::string message;

    int exitCode() const;
};

} // namespace Nutmegrill
