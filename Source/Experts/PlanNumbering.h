#pragma once

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Numbers that name the plans of one owner: the versions of its maps and its ballots. Owners that
/// know nothing of each other, such as an agent before and after a restart, give different numbers,
/// so a late command of one is never taken for a command of the other. The upper bits order the
/// numbers; the lower ones tell owners apart.
class PlanNumbering
{
public:
    /// \a startedAt is the time of day at the start of the agent, \a tag a random number of which
    /// the lowest TagBits bits count.
    PlanNumbering(std::chrono::system_clock::time_point startedAt, std::uint64_t tag);

    /// A number of this owner that is higher than \a highestKnown.
    std::uint64_t next(std::uint64_t highestKnown) const;

private:
    /// Numbers stay below 2^53, up to which JSON readers are exact.
    static constexpr unsigned TagBits = 20;
    /// Shorter than the interval between two plans, so that the order of a number does not overtake
    /// the clock, and an owner that starts later begins above all earlier ones.
    static constexpr std::chrono::milliseconds Unit{500};

    std::uint64_t firstOrder = 0;
    std::uint64_t tag = 0;
};

} // namespace Nutmegrill
