#pragma once

namespace Nutmegrill {

/// Turns single mechanisms off, for tests that show that the proof of a mechanism depends on it.
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
