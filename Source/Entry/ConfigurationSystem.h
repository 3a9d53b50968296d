#pragma once

#include "Entry/EntryTables.h"

#include <cstdint>

namespace Nutmegrill {

/// Reads the configuration from the store and distributes it, decides when a starting process is
/// ready, and, on a relay, merges pending take-outs into the store.
class ConfigurationSystem
{
public:
    explicit ConfigurationSystem(EntryTables &tables) : tables(tables) {}

    void read(const EntryEvent::ConfigurationRead &event);
    void storeUnreachable();
    void takeOut(const EntryEvent::TakeOutRequested &event);

    void readStore();
    void tickDistribution();
    void checkReady();
    void storeTakeOuts();

    bool isReady() const { return this->ready; }
    bool isRelay() const { return this->relay; }

private:
    bool allPeersAnswered();

    EntryTables &tables;
    bool readRequested = false;
    bool relay = false;
    bool ready = false;
    bool storeRead = false;
    bool storeDown = false;
    /// Version in the last ConfigurationInForce log record.
    std::uint64_t loggedVersion = 0;
    Instant nextRead = NoDeadline;
    Instant nextTakeOut;
    /// Readiness does not wait longer for peers; set when the first peer has answered.
    Instant peerAnswerDeadline = NoDeadline;
};

} // namespace Nutmegrill
