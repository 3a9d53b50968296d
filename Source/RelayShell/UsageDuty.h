#pragma once

#include "Duties/ClockConsensus.h"
#include "Duties/DutyLease.h"
#include "Duties/UsageCounts.h"
#include "Duties/UsageReporter.h"
#include "RelayShell/StateStore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Nutmegrill {

class ClientConnection;
class DutyProtocol;
class EntryTable;
class EventLoop;
class Metrics;
class StateDecoder;
class StoreMirror;
struct EntryReport;
struct LogRecord;

/// I/O layer of the usage reports, which one entry sends for all: calls to the store and to the
/// receiver of the reports, and the counts that entries tell each other.
class UsageDuty
{
public:
    struct Options
    {
        /// Receiver of the reports; empty if there are none.
        std::string receiver;
        /// Name and peer address of this entry.
        std::string name;
        std::string peerAddress;
        std::uint64_t incarnation = 0;
        std::chrono::seconds window{0};
        /// Reports are due that long after the end of their window.
        std::chrono::seconds dueAfter{10};
        /// The duty does not return to an earlier holder within this time.
        std::chrono::milliseconds leaseTime{3000};

        bool isEnabled() const
        {
            return !this->receiver.empty() && this->window > std::chrono::seconds(0);
        }
    };

    struct Handlers
    {
        std::function<void(const std::string &address, const std::string &bytes)> send;
        std::function<void(const LogRecord &record)> log;
    };

    UsageDuty(EventLoop &loop, const Options &options, const DutyProtocol &protocol,
              const StateDecoder &decoder, StateStore &store, Metrics &metrics, Handlers handlers);
    ~UsageDuty();
    UsageDuty(const UsageDuty &) = delete;
    UsageDuty &operator=(const UsageDuty &) = delete;

    /// A request began to run, at a time of the event loop.
    void recordRun(Instant beganAt, const std::string &account);
    /// Time of day on the clock of another entry.
    void observeClock(const EntryReport &report);
    /// Returns false if the bytes are no message of this kind.
    bool handleMessage(std::string_view bytes);

    /// Has to be called several times a second.
    void tick(const StoreMirror &mirror, const EntryTable &entries, bool reachesStore);

    /// A planned stop: the duty goes to another entry at once.
    void end();

private:
    /// Time since the start of this object, which goes on while the instance is suspended.
    Instant suspendAwareNow() const;
    ClockConsensus::WallTime trueTime() const;
    DutyView view(const StoreMirror &mirror) const;
    /// The entries that may take the duty; they get the counts of all.
    std::vector<std::string> candidates(const EntryTable &entries) const;
    void tellCounts(const DutyView &view, const std::vector<std::string> &candidates);
    void execute(const DutyCommand::Any &command);
    void executeOne(const DutyCommand::GrantLease &command);
    void executeOne(const DutyCommand::CreateLock &command);
    void executeOne(const DutyCommand::WriteRecord &command);
    void executeOne(const DutyCommand::RenewLease &command);
    void finish(const StateStore::Result &result);
    void send(const UsageReport &report);
    void logChange();
    std::string self() const;

    EventLoop &loop;
    Options options;
    const DutyProtocol &protocol;
    StateStore &store;
    Metrics &metrics;
    Handlers handlers;
    std::string lockKey;
    std::string recordKey;
    std::chrono::nanoseconds startedAt;
    DutyLease lease;
    UsageCounts counts;
    UsageReporter reporter;
    ClockConsensus clocks;
    std::shared_ptr<ClientConnection> connection;
    Instant nextTellAt;
    bool hasEnded = false;
    bool heldBefore = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Nutmegrill
