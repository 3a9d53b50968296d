#pragma once

#include <string>

namespace Nutmegrill {

/// Reason why an operator's command failed; its kind determines the exit code.
struct OperatorError
{
    enum class Kind {
        Usage,        ///< wrong arguments or flags
        Declarations, ///< the declarations have errors; nothing was published
        Warnings,     ///< a strict check found warnings and no errors
        StoreUnreachable,
        Conflict,       ///< another change was published first
        OutcomeUnknown, ///< the change may have been published
        NoAnswer,       ///< a process did not answer
        Refused         ///< the change cannot be made
    };

    Kind kind = Kind::Usage;
    std::string message;

    int exitCode() const;
};

} // namespace Nutmegrill
