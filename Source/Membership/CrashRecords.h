#pragma once

#include "Core/Time.h"
#include "Messages/PeerMessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Nutmegrill {

/// Fingerprints of requests that were running when a backend server crashed. One crash makes a
/// fingerprint a suspect, two crashes quarantine it; both end by deadline.
class CrashRecords
{
public:
    /// Adds one crash of a backend server. \a crashId names the crash, so that a notice that
    /// arrives twice counts once. Returns whether the crash is new.
    bool add(Instant now, std::uint64_t fingerprint, const std::string &crashId);

    /// Merges a peer's notice. Returns whether it brought something new, to be passed on.
    bool merge(Instant now, const PeerMessage::CrashNotice &notice);

    bool isSuspect(Instant now, std::uint64_t fingerprint) const;
    bool isQuarantined(Instant now, std::uint64_t fingerprint) const;

    /// The request ran to its end, so it is no longer suspected. A quarantine stays.
    void clearSuspect(std::uint64_t fingerprint);

    /// The record as a notice for peers.
    PeerMessage::CrashNotice notice(Instant now, std::uint64_t fingerprint) const;

    /// Drops records past their deadline.
    void tick(Instant now);

private:
    struct Record
    {
        std::set<std::string> crashIds;
        Instant deadline;
    };

    const Record *find(Instant now, std::uint64_t fingerprint) const;

    std::map<std::uint64_t, Record> records;
};

} // namespace Nutmegrill
