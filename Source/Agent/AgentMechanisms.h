#pragma once

namespace Nutmegrill {

/// Switches for the agent's safety mechanisms. Tests disable one to verify that the check of its
/// guarantee then fails.
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
