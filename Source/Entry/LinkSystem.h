#pragma once

#include "Entry/EntryTables.h"

#include <cstddef>
#include <string>

namespace Nutmegrill {

/// Maintains the links to the subset of agents and handles the messages on their control streams.
class LinkSystem
{
public:
    explicit LinkSystem(EntryTables &tables) : tables(tables) {}

    void updateInstances(const EntryEvent::InstancesRead &event);
    void linkOpened(const std::string &agent);
    void linkClosed(const std::string &agent);
    void receive(const std::string &agent, const PeerMessage::Any &message);

    /// Opens links that are needed and closes those that are not.
    void updateLinks();
    /// Reports the number of queued requests to the agents.
    void sendDemand();

private:
    void handleWelcome(BackendTable::Row &row, const PeerMessage::Welcome &message);
    void forwardCrashNotice(const std::string &agent, const PeerMessage::CrashNotice &notice);
    bool isLinkNeeded(const BackendTable::Row &row) const;
    void selectSubset();

    EntryTables &tables;
    std::size_t lastQueued = 0;
    Instant nextDemandCheck;
};

} // namespace Nutmegrill
