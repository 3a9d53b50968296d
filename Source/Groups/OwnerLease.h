#pragma once

#include "Core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Decides when this process may act as the owner of a model group. The owner holds a key in the
/// store under a lease; the create revision of the key is its fencing number.
///
/// The store's time to live of a lease starts after the call that grants or renews it was sent, so
/// the owner counts its own deadline from the moment of sending and stops before the store can give
/// the key to another process.
class OwnerLease
{
public:
    static constexpr std::chrono::seconds Lifetime{3};

    /// Reads the key; answered by keyRead().
    struct ReadKey
    {};
    /// Answered by leaseGranted().
    struct GrantLease
    {};
    /// Creates the key with \a value under \a lease if it is absent and reads it otherwise;
    /// answered by keyClaimed().
    struct ClaimKey
    {
        std::int64_t lease = 0;
        std::string value;
    };
    /// Answered by leaseKept().
    struct KeepLease
    {
        std::int64_t lease = 0;
    };
    /// Not answered.
    struct RevokeLease
    {
        std::int64_t lease = 0;
    };

    using Command = std::variant<ReadKey, GrantLease, ClaimKey, KeepLease, RevokeLease>;
    using Commands = std::vector<Command>;

    explicit OwnerLease(std::string process) : process(std::move(process)) {}

    /// Sets whether this process competes for the ownership. A holder that is no longer a candidate
    /// revokes its lease.
    void setCandidate(bool candidate, Commands &commands);

    void tick(Instant now, Commands &commands);

    /// \a holder is the value of the key; nullopt when the store did not answer, empty when the key
    /// is absent.
    void keyRead(Instant now, const std::optional<std::string> &holder, Commands &commands);
    /// \a lease is 0 when none was granted.
    void leaseGranted(Instant now, std::int64_t lease, Commands &commands);
    /// \a holder and \a createRevision are those of the key after the claim; nullopt when the
    /// outcome is not known.
    void keyClaimed(Instant now, const std::optional<std::string> &holder,
                    std::int64_t createRevision, Commands &commands);
    /// Nullopt when the store did not answer; false when the lease has ended.
    void leaseKept(Instant now, std::optional<bool> alive, Commands &commands);

    /// Releases the key because a later owner is known.
    void giveUp(Instant now, Commands &commands);

    /// Fencing number while this process is the owner, otherwise 0. Call it before each use,
    /// because the process may have been paused since the last call.
    std::uint64_t fence(Instant now) const;

private:
    enum class Phase { Waiting, Reading, Granting, Claiming, Holding };

    void retryLater(Instant now, std::chrono::milliseconds delay);
    std::string claimValue() const;

    std::string process;
    bool candidate = false;
    Phase phase = Phase::Waiting;
    std::int64_t lease = 0;
    std::uint64_t revision = 0;
    bool callOutstanding = false;
    Instant sentAt;
    Instant nextAt;
    Instant expiresAt;
};

} // namespace Nutmegrill
