#pragma once

namespace Nutmegrill {

/// Mechanisms of an agent. A test turns one off to show that the proof of the mechanism then fails.
struct AgentMechanisms
{
    bool arrivalCheck = true;
    bool warmup = true;
    bool takeOut = true;
    bool claims = true;
    bool tails = true;
    bool pauses = true;
    bool crashIsolation = true;
    bool drain = true;
};

} // namespace Nutmegrill
