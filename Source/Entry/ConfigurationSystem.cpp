#include "Entry/ConfigurationSystem.h"

#include "Config/ConfigurationCodec.h"
#include "Entry/EntryLog.h"
#include "Membership/RelaySelector.h"

#include <chrono>
#include <string>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds PeerAnswerTimeout(2);
constexpr milliseconds StoreRetryDelay(1000);
// Spreads the reads of all relays over time when the store becomes reachable again.
constexpr std::uint64_t MaxStoreRetryJitterMs = 1000;
constexpr std::chrono::seconds TakeOutRetryPeriod(5);

} // namespace

void ConfigurationSystem::read(const EntryEvent::ConfigurationRead &event)
{
    if (event.fromStore) {
        if (this->storeDown)
            this->nextTakeOut = this->tables.now;
        this->storeRead = true;
        this->storeDown = false;
        this->nextRead = NoDeadline;
    }
    PeerOutput::List output;
    if (event.fromStore) {
        this->tables.spread.accept(this->tables.now, event.configuration, output);
    } else if (event.configuration != nullptr) {
        // The store may hold a newer version by now, so this one is handled like one from a peer.
        this->tables.spread.receive(
                this->tables.now, {},
                PeerMessage::ConfigurationData{event.configuration->version,
                                               encodeConfiguration(*event.configuration)},
                output);
    }
    this->tables.send(output);
    this->checkReady();
}

void ConfigurationSystem::storeUnreachable()
{
    this->storeDown = true;
    this->nextRead = this->tables.now + StoreRetryDelay
                     + milliseconds(this->tables.random.below(MaxStoreRetryJitterMs));
    this->checkReady();
}

void ConfigurationSystem::takeOut(const EntryEvent::TakeOutRequested &event)
{
    PeerOutput::List output;
    if (this->tables.spread.takeOut(event.takeOut, output)) {
        this->nextTakeOut = this->tables.now;
        this->tables.log(EntryLog::TakeOutInForce, LogRecord::Level::Info,
                         event.takeOut.failureDomain + " is out, not yet in the store");
    }
    this->tables.send(output);
}

void ConfigurationSystem::readStore()
{
    const EntrySettings &settings = this->tables.settings;
    const bool nowRelay =
            RelaySelector::isRelay(settings.name, settings.failureDomain, this->tables.instances);
    const bool changed = nowRelay != this->relay;
    this->relay = nowRelay;
    const bool retry =
            this->storeDown && this->tables.now >= this->nextRead && (this->relay || !this->ready);
    if (this->readRequested && !changed && !retry)
        return;
    this->readRequested = true;
    this->nextRead = NoDeadline;
    this->tables.addCommand(EntryCommand::ReadStore{this->relay});
}

void ConfigurationSystem::tickDistribution()
{
    PeerOutput::List output;
    this->tables.spread.tick(this->tables.now, output);
    this->tables.send(output);
    this->tables.crashes.tick(this->tables.now);
}

bool ConfigurationSystem::allPeersAnswered()
{
    if (this->tables.spread.peersReported() == 0)
        return false;
    if (this->peerAnswerDeadline == NoDeadline)
        this->peerAnswerDeadline = this->tables.now + PeerAnswerTimeout;
    if (this->tables.now >= this->peerAnswerDeadline)
        return true;
    for (const auto &[agent, row] : this->tables.backends.all()) {
        const bool refused = row.openFailures > 0;
        if (row.inSubset && !row.welcomed && !refused)
            return false;
    }
    return this->tables.spread.version() >= this->tables.spread.highestReportedVersion();
}

void ConfigurationSystem::checkReady()
{
    if (const std::uint64_t version = this->tables.spread.version();
        version != this->loggedVersion) {
        this->loggedVersion = version;
        this->tables.log(EntryLog::ConfigurationInForce, LogRecord::Level::Info,
                         "configuration " + std::to_string(version) + " is in force");
    }
    if (this->ready || this->tables.spread.current() == nullptr)
        return;
    this->ready = this->storeRead || (this->storeDown && this->allPeersAnswered());
    if (this->ready)
        this->tables.log(EntryLog::Ready, LogRecord::Level::Info, "ready");
}

void ConfigurationSystem::storeTakeOuts()
{
    if (!this->relay || this->storeDown || this->tables.now < this->nextTakeOut)
        return;
    const auto pending = this->tables.spread.pendingTakeOuts();
    if (pending.empty())
        return;
    this->nextTakeOut = this->tables.now + TakeOutRetryPeriod;
    for (const PeerMessage::PendingTakeOut &takeOut : pending)
        this->tables.addCommand(EntryCommand::StoreTakeOut{takeOut});
}

} // namespace Nutmegrill
