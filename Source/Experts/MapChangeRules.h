#pragma once

namespace Nutmegrill {

/// The safety rules of a map change. Tests turn them off one by one to show that the proof of each
/// fails without it; programs use the defaults.
struct MapChangeRules
{
    /// A rank refuses an owner with a lower fencing number than one it has heard.
    bool fencing = true;
    /// A rank that has not heard of a change refuses it before it answers a question about it.
    bool refuseBeforeUnknown = true;
    /// An armed rank does not run the step of the change without the outcome.
    bool waitAtStep = true;
    /// Votes of an earlier incarnation of a rank are dropped when the rank was restarted.
    bool dropOldIncarnations = true;
};

} // namespace Nutmegrill
