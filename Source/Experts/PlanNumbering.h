#pragma once

#include <chrono>
#include <cstdint>

namespace Nutmegrill {

/// Numbers that name the plans of one owner: the versions of its maps and its ballots. Owners that
/// know nothing of each other, such as an agent before and after a restart, give different numbers,
/// so a late command of one is never taken for a command of the other. The upper bits order the
/// numbers; the lower ones tell owners apart. Numbers stay below 2^53, up to which JSON readers are
/// exact.
class PlanNumbering
{
public:
    /// Two numbers of one owner differ by a multiple of this.
    static constexpr std::uint64_t Step = std::uint64_t(1) << 20U;

    /// \a startedAt is the time of day at the start of the agent, \a tag a random number of which
    /// the part below Step / 2 counts. Plans get even numbers.
    PlanNumbering(std::chrono::system_clock::time_point startedAt, std::uint64_t tag);

    /// A number of this owner that is higher than \a highestKnown.
    std::uint64_t next(std::uint64_t highestKnown) const;

    /// Number of a map that is prepared only to give a plan up. No rank is ever armed for it.
    static std::uint64_t substituteFor(std::uint64_t plan) { return plan | 1U; }
    static bool isSubstitute(std::uint64_t number) { return number % 2 == 1; }

private:
    /// Shorter than the interval between two plans, so that the order of a number does not overtake
    /// the clock, and an owner that starts later begins above all earlier ones.
    static constexpr std::chrono::milliseconds Unit{500};

    std::uint64_t firstOrder = 0;
    std::uint64_t tag = 0;
};

} // namespace Nutmegrill
