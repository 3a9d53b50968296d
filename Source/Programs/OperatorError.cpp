#include "Programs/OperatorError.h"

#include "Programs/Settings.h"

namespace Nutmegrill {

int OperatorError::exitCode() const
{
    switch (this->kind) {
    case Kind::Usage:
        return Settings::ExitUsage;
    case Kind::Warnings:
        return Settings::ExitWarnings;
    case Kind::StoreUnreachable:
        return Settings::ExitStoreUnreachable;
    case Kind::Conflict:
        return Settings::ExitConflict;
    case Kind::Declarations:
    case Kind::OutcomeUnknown:
    case Kind::NoAnswer:
    case Kind::Refused:
        break;
    }
    return Settings::ExitFailure;
}

} // namespace Nutmegrill
