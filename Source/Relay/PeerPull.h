#pragma once

#include "Core/Time.h"
#include "Relay/StorePosition.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Nutmegrill {

class EntryTable;

/// Selects the entries that this one asks for changes of the store which it lacks. An entry that
/// does not answer is not asked again while another one has the changes, because its last report
/// stays valid for longer than changes may take.
class PeerPull
{
public:
    /// Peer address of the entry to ask now for the changes after \a position. The caller reports
    /// the result of the call to end().
    std::optional<std::string> begin(Instant now, StorePosition position, const std::string &domain,
                                     const EntryTable &entries);
    void end(Instant now, const std::string &peer, bool isAnswered);

private:
    /// Entries whose calls are under way.
    std::set<std::string> pending;
    /// Until then, no second entry is asked, nor one again that did not answer.
    Instant patientUntil;
    /// Until when entries that did not answer are avoided.
    std::map<std::string, Instant> avoidedUntil;
};

} // namespace Nutmegrill
