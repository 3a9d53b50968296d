#pragma once

#include "Core/RandomSource.h"
#include "Relay/AnswerHead.h"
#include "Relay/BackendRoster.h"
#include "Relay/ColdRateLimit.h"
#include "Relay/EntryTable.h"
#include "Relay/Exchange.h"
#include "Relay/GroupMembership.h"
#include "Relay/NamedLimit.h"
#include "Relay/RelayCommand.h"
#include "Relay/RelayPolicy.h"
#include "Relay/RequestQuarantine.h"
#include "Relay/RouteTable.h"
#include "Relay/ServiceRetryBudget.h"
#include "Relay/ServiceWaitEstimator.h"
#include "Relay/ServingUnit.h"
#include "Relay/SlotBudget.h"
#include "Relay/StreamEvent.h"
#include "Scheduling/HedgePolicy.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Why an attempt ended without an answer.
enum class AttemptFailure {
    NotSent,  ///< no byte reached the backend server
    Refused,  ///< the same, because nothing listens at the address
    Broken,   ///< the connection ended before the answer did
    Malformed ///< the bytes were no valid answer
};

/// What listens at the address of a backend server.
enum class BackendCheck {
    Listening,
    Refused, ///< nothing
    Unknown  ///< no answer in time
};

/// Decision logic of an entry that relays requests directly to backend servers: routing, placement,
/// queueing, admission, retries, resumption of streams and deadlines. It uses no clock and no
/// sockets: times are passed in, and commands for the I/O layer are returned.
class RelayNode
{
public:
    using CallerId = RelayCommand::CallerId;
    using AttemptId = RelayCommand::AttemptId;
    using Commands = RelayCommand::List;

    struct Settings
    {
        std::uint64_t seed = 1;
        /// Address under which the other entries know this one.
        std::string peerAddress;
        ServiceRetryBudget::Limit retryLimit;
        std::chrono::milliseconds retryWindow{10000};
        /// Share of the requests of a service that may have a second attempt while the first one
        /// is late; part of the retry limit. 0: none.
        double hedgeRatio = 0;
        RelayPolicy policy;
        EntryTable::Switches entries;
        /// An entry that has just started uses a smaller share of the cold rate, because it does
        /// not know what its previous start sent in the last second. Turned off only in tests.
        bool reducesColdRateAfterStart = true;
        /// Returns RecordRun commands.
        bool recordsRuns = false;
    };

    explicit RelayNode(const Settings &settings);
    ~RelayNode();
    RelayNode(const RelayNode &) = delete;
    RelayNode &operator=(const RelayNode &) = delete;

    /// Activates a configuration unless the active one is as new or newer.
    void configure(ConfigurationPtr configuration, Commands &commands);
    bool isConfigured() const { return this->routes != nullptr; }
    std::uint64_t configurationVersion() const;
    const Configuration *configuration() const;

    /// Takes effect at once, also for repeats of requests that are open.
    void setRetryLimit(const ServiceRetryBudget::Limit &limit);
    /// The same for second attempts that are not started yet.
    void setHedgeRatio(double ratio);

    /// A planned stop has begun; the process ends at \a end at the latest.
    void beginStop(Instant end) { this->stopAt = end; }
    /// Gives each open request its final answer, because the process is about to end.
    void endOpenRequests(Instant now, Commands &commands);

    BackendRoster &roster() { return this->backends; }
    EntryTable &entries() { return this->peers; }

    void requestArrived(Instant now, CallerId caller, RelayRequest request, Commands &commands);
    void callerDisconnected(Instant now, CallerId caller, Commands &commands);

    /// A new connection for the attempt has been established.
    void attemptConnected(Instant now, AttemptId attempt);
    void headArrived(Instant now, AttemptId attempt, const AnswerHead &head, Commands &commands);
    void eventArrived(Instant now, AttemptId attempt, StreamEvent event, Commands &commands);
    /// The answer is complete. The I/O layer buffers answers that are not streams until RelayAnswer
    /// or CancelAttempt.
    void answerEnded(Instant now, AttemptId attempt, Commands &commands);
    void attemptFailed(Instant now, AttemptId attempt, AttemptFailure failure, Commands &commands);

    void backendChecked(Instant now, const std::string &incarnation, BackendCheck result,
                        Commands &commands);

    /// Another entry's report arrived. Returns whether it is newer than its last one.
    bool reportArrived(Instant now, const EntryReport &report, Commands &commands);
    RequestQuarantine &requestQuarantine() { return this->quarantine; }

    /// Addresses of the backend servers whose agents are to be asked for their model group now.
    std::vector<std::string> dueGroupQueries(Instant now);
    /// An agent named the group of its backend server.
    void groupArrived(Instant now, const GroupMembership &membership);

    void tick(Instant now, Commands &commands);

    std::size_t openRequests() const { return this->exchanges.size(); }
    /// Adds the running and waiting requests and the news about crashes to this entry's report to
    /// the other entries.
    void fillReport(Instant now, EntryReport &report);
    /// Whether the report names crashes or leaving backend servers that were not told often enough.
    bool hasNews() const { return !this->leavingNews.empty() || this->quarantine.hasNews(); }
    /// Load of this entry's requests, for the sums of all entries.
    LoadSum ownLoad(Instant now) const;

private:
    using Exchanges = std::map<CallerId, Exchange>;
    struct BackendUse
    {
        std::uint32_t running = 0;
        /// Requests that this entry has sent to the backend server.
        std::uint64_t sends = 0;
        ColdRateLimit cold;
        /// Whether this entry is one of those that use a scarce cold rate, and until when that
        /// holds.
        bool isChosen = true;
        Instant chosenUntil;
        /// Start of the backend server for which the limit holds.
        std::uint64_t incarnation = 0;
        NamedLimit limit;
        /// This entry's part of the limit, and until when it holds.
        std::uint32_t limitShare = 0;
        Instant limitShareUntil;
        /// When the other entries are next told of the limit; NoDeadline unless this entry heard of
        /// it itself.
        Instant limitReportAt = NoDeadline;
        /// End of the pause that the backend server asked this entry for, and when this entry
        /// sends again.
        Instant pausedUntil;
        Instant resumeAt;
    };

    Exchange *findByAttempt(AttemptId attempt);
    /// Refuses a request without access to the table of open requests.
    void refuseUntracked(CallerId caller, const std::string &requestId, int status,
                         std::chrono::milliseconds retryAfter, const std::string &reason,
                         Commands &commands);
    void refuse(Instant now, const Exchange &exchange, int status,
                std::chrono::milliseconds retryAfter, const std::string &reason,
                Commands &commands);
    void finish(Instant now, const Exchange &exchange, const char *how, Commands &commands);
    /// Cancels the attempt; another one that runs takes its place.
    void dropAttempt(Exchange &exchange, Commands &commands);
    void dropAllAttempts(Exchange &exchange, Commands &commands);
    void releaseSlot(const Attempt &attempt);
    void retryOrAbandon(Instant now, Exchange &exchange, const std::string &why,
                        Commands &commands);
    void abandon(Instant now, Exchange &exchange, const std::string &why, Commands &commands);
    void handleRejection(Instant now, Exchange &exchange, const AnswerHead &head,
                         Commands &commands);
    void placeWaiting(Instant now, Commands &commands);
    bool tryPlace(Instant now, Exchange &exchange, Commands &commands);
    std::optional<std::string> chooseBackend(Instant now, const Exchange &exchange);
    /// Starts the attempt of a waiting request, or the second one of a request that has one.
    void startAttempt(Instant now, Exchange &exchange, const std::string &backend,
                      Commands &commands);
    /// Starts second attempts for requests whose first one is late; see HedgePolicy.
    void startSecondAttempts(Instant now, Commands &commands);
    void startSecondAttempt(Instant now, Exchange &exchange, bool isSaturated, Commands &commands);
    /// Whether requests of the service wait, or few of its slots are free.
    bool isSaturated(Instant now, const std::string &service) const;
    /// The attempt of the exchange has brought its first event or a head that decides: another one
    /// that runs is cancelled.
    void settleAttempts(Instant now, Exchange &exchange, Commands &commands);
    /// One of two attempts has ended without an answer; the other one goes on.
    void noteAttemptAlone(Exchange &exchange, Commands &commands);
    void noteSecondAttempt(const Exchange &exchange, const char *outcome, const char *reason,
                           Commands &commands) const;
    ServiceRetryBudget &hedgeBudgetOf(const std::string &service);
    bool isHedging() const { return this->settings.hedgeRatio > 0; }
    void checkDeadlines(Instant now, Commands &commands);
    void checkSilence(Instant now, Commands &commands);
    /// Why a waiting request is refused now; empty when it may continue to wait.
    std::string reasonToRefuse(Instant now, const Exchange &exchange, std::uint32_t ahead);
    std::chrono::milliseconds retryAfterFor(Instant now, const Exchange &exchange,
                                            std::chrono::milliseconds wait);
    bool isBlocked(Instant now, const Exchange &exchange) const;
    /// Writes the begin and the end of quarantines to the store.
    void storeQuarantine(Instant now, Commands &commands);
    /// Ends attempts that have become blocked, before their backend servers begin to run them.
    void cancelBlocked(Instant now, Commands &commands);
    void recordBreak(Instant now, Exchange &exchange, Commands &commands);
    void recordEnd(Instant now, const std::string &incarnation, Commands &commands);
    void recordProgress(Instant now, Exchange &exchange);
    void recordRun(Instant beganAt, const Exchange &exchange, Commands &commands) const;
    std::string incarnationOf(const std::string &backend) const;
    void checkRestarts(Instant now, Commands &commands);
    ServiceWaitEstimator &waitEstimatorOf(const Exchange &exchange);
    ServiceRetryBudget &retryBudgetOf(const std::string &service);
    std::uint32_t usableSlots(const std::string &service, Instant now) const;
    /// Since when all units of a service turn requests away; nullopt if one of them does not.
    std::optional<Instant> outageSince(const std::string &service, Instant now) const;
    const ServingUnit *findUnit(const std::string &name) const;
    void dropUnusedUnits();
    bool hasColdCapacity(Instant now, const std::string &backend, BackendUse &use, bool isCold,
                         double rate, std::uint32_t entries) const;
    /// The use of a backend server; a new start of it has no named limit.
    BackendUse &useOf(const BackendRoster::Row &row);
    /// Returns whether the limit changed.
    bool observeLimit(Instant at, const std::string &backend,
                      std::optional<double> requestsPerSecond, Commands &commands);
    /// Limit of a backend server that this entry was told by an answer.
    void recordNamedLimit(Instant now, const Attempt &attempt, const AnswerHead &head,
                          Commands &commands);
    void fillLimits(Instant now, std::vector<EntryReport::Limit> &limits);
    void recordNotices(Instant now, const Attempt &attempt, const AnswerHead &head,
                       Commands &commands);
    void recordPause(Instant now, const Attempt &attempt, const AnswerHead &head,
                     Commands &commands);
    /// Requests that this entry may run at a backend server: none during a pause, then gradually
    /// more.
    static std::uint32_t slotsAfterPause(Instant now, const BackendUse &use, std::uint32_t slots);
    /// When a service takes requests again whose usable backend servers all pause.
    std::optional<Instant> endOfPauses(Instant now, const std::string &service) const;
    /// A backend server said in an answer, or to another entry, that it leaves. Returns whether
    /// that is new.
    bool recordLeaving(const std::string &backend, std::uint64_t incarnation, const char *source,
                       Commands &commands);
    void fillLeaving(std::vector<std::string> &leaving);
    void fillLoad(Instant now, EntryReport &report) const;
    bool hasLimitCapacity(Instant now, const std::string &backend, BackendUse &use,
                          std::uint32_t entries) const;
    double coldRateOf(const ServiceDeclaration *service, bool isCold, Instant now) const;
    /// Whether so many entries place requests that their known loads are always out of date.
    /// Smaller fleets place, limit and wait without regard to that.
    bool isLargeFleet(Instant now) const;
    ConcurrencyLimit::Basis limitBasis(Instant now) const;
    /// Share of the known requests of other entries that have ended since they were told.
    double replacedShare(const std::string &service, Instant now) const;
    double shareOfFreedSlots(const std::string &service, Instant now) const;
    /// The slots that this entry may take for the service; null if they are not limited.
    SlotBudget *slotBudgetOf(Instant now, const Exchange &exchange, std::uint32_t entries);
    std::uint32_t waitingCount(const std::string &service) const;
    /// Waiting requests of the same service that get a slot before the request.
    std::uint32_t waitingBefore(const Exchange &exchange, Instant now) const;

    Settings settings;
    RandomSource random;
    std::unique_ptr<RouteTable> routes;
    BackendRoster backends;
    EntryTable peers;
    RequestQuarantine quarantine;
    std::uint64_t cancelledGeneration = 0;
    Exchanges exchanges;
    std::map<AttemptId, CallerId> attempts;
    std::map<std::string, BackendUse> backendUses;
    std::map<std::string, ServiceWaitEstimator> waitEstimators;
    std::map<std::string, ServiceRetryBudget> retryBudgets;
    std::map<std::string, ServiceRetryBudget> hedgeBudgets;
    HedgePolicy hedgePolicy;
    /// By service.
    std::map<std::string, SlotBudget> slotBudgets;
    /// By name of the unit.
    std::map<std::string, ServingUnit> units;
    /// Starts of backend servers that told this entry that they leave, and in how many further
    /// reports the others are told.
    std::map<std::string, std::uint32_t> leavingNews;
    std::optional<Instant> startedAt;
    Instant stopAt = NoDeadline;
    AttemptId nextAttempt = 1;
};

} // namespace Nutmegrill
