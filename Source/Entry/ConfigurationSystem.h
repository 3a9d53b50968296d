#pragma once

#include "Entry/EntryTables.h"

#include <cstdint>

namespace Nutmegrill {

/// Reads the configuration from the store, decides when a fresh process is ready, and merges
/// pending take-outs into the store as a relay.
class ConfigurationSystem
{
public:
    explicit ConfigurationSystem(EntryTables &tables) : tables(tables) {}

    void read(const EntryEvent::ConfigurationRead &event);
    void storeUnreachable();
    void takeOut(const EntryEvent::TakeOutRequested &event);

    void readStore();
    void spread();
    void checkReady();
    void storeTakeOuts();

    bool isReady() const { return this->ready; }
    bool isRelay() const { return this->relay; }

private:
    bool heardEveryPeer();

    EntryTables &tables;
    bool asked = false;
    bool relay = false;
    bool ready = false;
    bool storeRead = false;
    bool storeDown = false;
    /// Version in the last log event.
    std::uint64_t logged = 0;
    Instant nextRead = NoDeadline;
    Instant nextTakeOut;
    /// Peers that have not answered by then are not waited for; set when the first has answered.
    Instant peersUntil = NoDeadline;
};

} // namespace Nutmegrill
