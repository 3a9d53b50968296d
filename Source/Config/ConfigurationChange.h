#pragma once

#include "Config/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Nutmegrill {

/// A change of the stored configuration, requested by an operator or a relay, and the function that
/// computes the next configuration from it. Holds no state of the publication.
struct ConfigurationChange
{
    /// Replaces all objects. Failure domains that are already stored keep their state and epoch.
    struct Apply
    {
        Configuration declared;
        /// Version that must be stored, or the change is rejected; nullopt accepts any.
        std::optional<std::uint64_t> expectedVersion;
    };

    struct TakeOut
    {
        std::string failureDomain;
    };

    struct BringBack
    {
        std::string failureDomain;
        /// Epoch of a take-out that is in effect but not stored yet; 0: none.
        std::uint64_t pendingEpoch = 0;
    };

    /// Stores a take-out that was issued while the store was unavailable.
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

    /// Identifies the change across retries, so that a lost answer can be resolved.
    std::string changeId;
    std::string author;
    Action action;

    /// Computes the configuration that results from applying the change to \a stored.
    Outcome applyTo(const Configuration &stored) const;
};

} // namespace Nutmegrill
