#pragma once

namespace Nutmegrill {

/// Turns single mechanisms off. Tests use this to verify that the check for a mechanism fails
/// without it.
struct EntrySwitches
{
    bool credits = true;
    bool domainCheck = true;
    bool leavingCheck = true;
    bool resume = true;
    bool continuation = true;
    bool dropDuplicates = true;
    bool atMostOnce = true;
    bool quarantine = true;
    bool fairShares = true;
    bool backpressure = true;
    bool gracefulStop = true;
};

} // namespace Nutmegrill
