#pragma once

namespace Nutmegrill {

/// Safety rules of a map change. Tests disable one rule at a time to check that its violation is
/// detected; programs use the defaults.
struct MapChangeRules
{
    /// A rank refuses an owner with a lower fencing number than the highest one it knows.
    bool fencing = true;
    /// A rank that does not know a change refuses it before it answers a question about it.
    bool refuseBeforeUnknown = true;
    /// An armed rank does not run the step of the change without the outcome.
    bool waitAtStep = true;
    /// Votes of an earlier incarnation of a rank are dropped when the rank was restarted.
    bool dropOldIncarnations = true;
};

} // namespace Nutmegrill
