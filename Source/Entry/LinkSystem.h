#pragma once

#include "Entry/EntryTables.h"

#include <cstddef>
#include <string>

namespace Nutmegrill {

/// Keeps the links to the subset of agents and handles what arrives on their control streams.
class LinkSystem
{
public:
    explicit LinkSystem(EntryTables &tables) : tables(tables) {}

    void readInstances(const EntryEvent::InstancesRead &event);
    void linkOpened(const std::string &agent);
    void linkClosed(const std::string &agent);
    void receive(const std::string &agent, const PeerMessage::Any &message);

    /// Opens and closes links.
    void keepLinks();
    /// Tells agents how many requests wait.
    void sendDemand();

private:
    void welcome(BackendTable::Row &row, const PeerMessage::Welcome &message);
    void spreadCrash(const std::string &agent, const PeerMessage::CrashNotice &notice);
    bool isWanted(const BackendTable::Row &row) const;
    void selectSubset();

    EntryTables &tables;
    std::size_t lastQueued = 0;
    Instant nextDemandCheck;
};

} // namespace Nutmegrill
