#pragma once

#include "Entry/AdmissionSystem.h"
#include "Entry/EntryTables.h"

namespace Nutmegrill {

/// Handles flow control towards callers: pauses works of slow readers, acknowledges events that
/// callers have received, and releases requests whose caller has disconnected.
class CallerSystem
{
public:
    CallerSystem(EntryTables &tables, AdmissionSystem &admission)
        : tables(tables), admission(admission)
    {}

    void updateBuffered(const EntryEvent::CallerBuffered &event);
    void callerDisconnected(EntryEvent::CallerId caller);

    void limitBuffers();
    void sendAcks();
    void cancelDetached();

private:
    StreamBudget::Limits limitsOf(const RequestTable::Row &row) const;
    void applyPause(RequestTable::Row &row);
    bool isTooSlow(RequestTable::Row &row) const;
    void abortSlowReader();
    void detachWork(RequestTable::Row &row);
    void releaseWork(RequestTable::Row &row);
    void acknowledge(RequestTable::Row &row);
    std::uint64_t firstUnreadEvent(RequestTable::Row &row) const;

    EntryTables &tables;
    AdmissionSystem &admission;
};

} // namespace Nutmegrill
