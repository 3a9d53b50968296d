#pragma once

#include "Http/HttpListener.h"
#include "Net/EventLoop.h"
#include "Net/Metrics.h"
#include "Relay/PeerPull.h"
#include "Relay/RelayNode.h"
#include "Relay/ReportSchedule.h"
#include "Relay/SlowRankTable.h"
#include "Relay/StopAdmission.h"
#include "Relay/StoreContact.h"
#include "RelayShell/BackendAttempts.h"
#include "RelayShell/DatagramSocket.h"
#include "RelayShell/LoopLag.h"
#include "RelayShell/OpenRequest.h"
#include "RelayShell/StateDecoder.h"
#include "RelayShell/StoreFeed.h"
#include "RelayShell/UsageDuty.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Nutmegrill {

class DutyProtocol;
class RelayProtocol;

/// I/O layer of an entry that relays requests directly to backend servers: sockets, store access,
/// reports to the other entries, and the planned stop. RelayNode holds the decision logic.
class RelayEntry
{
public:
    struct Options
    {
        std::string name;
        std::string failureDomain;
        /// Addresses ("IP:port") on which callers' requests, readiness checks, address lookups,
        /// other entries and metrics are served.
        std::string callerAddress;
        std::string readinessAddress;
        std::string directoryAddress;
        std::string peerAddress;
        std::string metricsAddress;
        /// Time from SIGTERM until the process is killed.
        std::chrono::milliseconds graceTime{8000};
        /// How long callers may cache the result of an address lookup.
        std::chrono::seconds directoryLifetime{1};
        std::size_t maxConnections = 3000;
        /// Memory of the instance.
        std::size_t memoryBytes = 256U << 20U;
        /// How often a backend server renews its row in the store.
        std::chrono::milliseconds heartbeatPeriod{1200};
        std::uint64_t incarnation = 0;
        RelayNode::Settings node;
        UsageDuty::Options usage;
    };

    /// \a duties is needed only for usage reports.
    RelayEntry(EventLoop &loop, const Options &options, const RelayProtocol &protocol,
               const StateDecoder &decoder, StateStore &store,
               const DutyProtocol *duties = nullptr);
    ~RelayEntry();
    RelayEntry(const RelayEntry &) = delete;
    RelayEntry &operator=(const RelayEntry &) = delete;

    /// Error message if an address could not be opened, otherwise empty.
    std::string startError() const;

    /// Applies the settings that may change while the process runs: the grace time and the retry
    /// limit. Other changes take effect at the next start. \a what is logged.
    void reload(const Options &fresh, const std::string &what);

    /// Runs until a planned stop is complete.
    void run();

private:
    /// Runs a step of the decision logic and the commands that it returns. An unexpected error ends
    /// the step, or the request of one command.
    void decide(const std::string &subject, const std::function<void(RelayNode::Commands &)> &step);
    /// Ends a request that met an unexpected error, which promises nothing about its run.
    void dropCaller(RelayCommand::CallerId caller);
    void handleRequest(HttpListener::Request &&request);
    void startRequest(HttpListener::Request &&request);
    void callerDisconnected(HttpListener::RequestId id);
    void requestRejected(int status);
    void logUnexpected(const std::string &where, const std::exception &error);
    StateDecoder::DecodedChange decode(const StoreChange &change);
    void handleDatagram(std::string_view bytes);
    void answerReadiness(const HttpListener::Request &request);
    void answerDirectory(const HttpListener::Request &request);
    void answerPeer(const HttpListener::Request &request);
    void applyChanges(const StoreMirror::Changes &changes);
    void handleReport(std::string_view bytes);
    void sendReports();
    void sendLoads(Instant now);
    void sendMessage(const std::string &address, const std::string &bytes);
    void askForGroups();
    void pullFromPeer();
    /// The store answered this entry, or another one \a age ago.
    void recordStoreAnswer(std::chrono::milliseconds age);
    void storeOutageEnded();
    void storeRestored(StorePosition before);
    bool holdsLease() const;
    void announce();
    void execute(RelayNode::Commands &commands);
    void executeOne(const RelayCommand::StartAttempt &command);
    void executeOne(const RelayCommand::CancelAttempt &command);
    void executeOne(const RelayCommand::Refuse &command);
    void executeOne(const RelayCommand::RelayAnswer &command);
    void executeOne(const RelayCommand::OpenStream &command);
    void executeOne(const RelayCommand::SendEvent &command);
    void executeOne(const RelayCommand::EndStream &command);
    void executeOne(const RelayCommand::AbortStream &command);
    void executeOne(const RelayCommand::CheckBackend &command);
    void executeOne(const RelayCommand::StoreCrashes &command);
    void executeOne(const RelayCommand::RecordTimes &command);
    void executeOne(const RelayCommand::RecordRun &command);
    void executeOne(const RelayCommand::CountSecondAttempt &command);
    void executeOne(const RelayCommand::Log &command);
    void tick();
    void beginStop();
    /// Takes the steps of a planned stop that are due.
    void continueStop(Instant now);
    bool isServing() const;
    void log(std::uint32_t number, LogRecord::Level level, const std::string &text);

    EventLoop &loop;
    Options options;
    const RelayProtocol &protocol;
    const StateDecoder &decoder;
    StateStore &store;
    Metrics metrics;
    ByteBudget budget;
    RelayNode node;
    BackendAttempts attempts;
    StoreContact storeContact;
    StoreFeed storeFeed;
    HttpListener callerListener;
    HttpListener readinessListener;
    HttpListener directoryListener;
    HttpListener peerListener;
    HttpListener metricsListener;
    DatagramSocket reportSocket;
    std::map<HttpListener::RequestId, OpenRequest> requests;
    /// Null if no usage is reported.
    std::unique_ptr<UsageDuty> usageDuty;
    PeerPull peerPull;
    LoopLag loopLag;
    std::unique_ptr<EventLoop::Timer> tickTimer;
    std::unique_ptr<EventLoop::Timer> reportTimer;
    std::unique_ptr<EventLoop::Timer> announceTimer;
    std::unique_ptr<EventLoop::Timer> terminateSignal;
    std::uint64_t reportSequence = 0;
    ReportSchedule reportSchedule;
    SlowRankTable slowRanks;
    /// When the lease is renewed next.
    Instant renewAt;
    std::uint64_t lease = 0;
    std::uint64_t leaseGeneration = 0;
    /// When the store last answered this entry.
    std::optional<Instant> storeAnsweredAt;
    bool isAnnouncing = false;
    bool isWatchingStore = true;
    bool wasServing = false;
    std::optional<StopAdmission::Phases> stop;
};

} // namespace Nutmegrill
