#pragma once

#include "Config/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Nutmegrill {

/// What an operator or a relay wants to change in the stored configuration, and how the change
/// turns one configuration into the next. Holds no state of the attempt.
struct ConfigurationChange
{
    /// Replaces all objects. State and epoch of failure domains that are stored already stay.
    struct Apply
    {
        Configuration declared;
        /// Refuse when the stored version is another one; nullopt accepts any.
        std::optional<std::uint64_t> expectedVersion;
    };

    struct TakeOut
    {
        std::string failureDomain;
    };

    struct BringBack
    {
        std::string failureDomain;
        /// Epoch of a take-out that is in force but not stored yet; 0: none is known.
        std::uint64_t pendingEpoch = 0;
    };

    /// Stores a take-out that was given out while the store was down.
    struct MergeTakeOut
    {
        std::string failureDomain;
        std::uint64_t epoch = 0;
    };

    using Action = std::variant<Apply, TakeOut, BringBack, MergeTakeOut>;

    enum class Verdict { Changed, Unchanged, UnknownFailureDomain, EpochExhausted };

    struct Outcome
    {
        Verdict verdict = Verdict::Unchanged;
        Configuration configuration;
    };

    /// Names this change in every attempt, so that a lost answer can be resolved.
    std::string changeId;
    std::string author;
    Action action;

    /// The configuration that follows \a stored.
    Outcome applyTo(const Configuration &stored) const;
};

} // namespace Nutmegrill
