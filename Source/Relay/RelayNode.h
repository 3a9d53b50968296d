#pragma once

#include "Core/RandomSource.h"
#include "Relay/AnswerHead.h"
#include "Relay/BackendRoster.h"
#include "Relay/ColdShare.h"
#include "Relay/EntryTable.h"
#include "Relay/Exchange.h"
#include "Relay/PaceLimit.h"
#include "Relay/RelayOrder.h"
#include "Relay/RelayPolicy.h"
#include "Relay/RetryShare.h"
#include "Relay/RouteTable.h"
#include "Relay/ServiceCircuit.h"
#include "Relay/ServiceLoad.h"
#include "Relay/StreamEvent.h"

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
    Broken,   ///< the connection ended before the answer did
    Malformed ///< the bytes were no valid answer
};

/// Decision logic of an entry that relays requests directly to backend servers: routing, placement,
/// queueing, admission, retries, resumption of streams and deadlines. It uses no clock and no
/// sockets: times are passed in, and commands for the I/O layer are returned.
class RelayNode
{
public:
    using CallerId = RelayOrder::CallerId;
    using AttemptId = RelayOrder::AttemptId;
    using Orders = RelayOrder::List;

    struct Settings
    {
        std::uint64_t seed = 1;
        RetryShare::Limit retryLimit;
        std::chrono::milliseconds retryWindow{10000};
        RelayPolicy policy;
        EntryTable::Switches entries;
        /// An entry that has just started uses a smaller share of the cold rate, because it does
        /// not know what its previous start sent in the last second. Turned off only in tests.
        bool sparesColdAfterStart = true;
    };

    explicit RelayNode(const Settings &settings);
    ~RelayNode();
    RelayNode(const RelayNode &) = delete;
    RelayNode &operator=(const RelayNode &) = delete;

    /// Activates a configuration unless the active one is as new or newer.
    void configure(ConfigurationPtr configuration, Orders &commands);
    bool isConfigured() const { return this->routes != nullptr; }
    std::uint64_t configurationVersion() const;
    const Configuration *configuration() const;

    /// Takes effect at once, also for repeats of requests that are open.
    void setRetryLimit(const RetryShare::Limit &limit);

    /// A planned stop has begun; the process ends at \a end at the latest.
    void beginStop(Instant end) { this->stopAt = end; }

    BackendRoster &roster() { return this->backends; }
    EntryTable &entries() { return this->peers; }

    void requestArrived(Instant now, CallerId caller, RelayRequest request, Orders &commands);
    void callerGone(Instant now, CallerId caller, Orders &commands);

    void headArrived(Instant now, AttemptId attempt, const AnswerHead &head, Orders &commands);
    void eventArrived(Instant now, AttemptId attempt, StreamEvent event, Orders &commands);
    /// The answer is complete. The I/O layer buffers answers that are not streams until RelayAnswer
    /// or CancelAttempt.
    void answerEnded(Instant now, AttemptId attempt, Orders &commands);
    void attemptFailed(Instant now, AttemptId attempt, AttemptFailure failure, Orders &commands);

    void tick(Instant now, Orders &commands);

    std::size_t openRequests() const { return this->exchanges.size(); }
    /// Adds the running and waiting requests to this entry's report to the other entries.
    void fillReport(EntryReport &report) const;

private:
    using Exchanges = std::map<CallerId, Exchange>;
    struct BackendUse
    {
        std::uint32_t running = 0;
        /// Requests that this entry has sent to the backend server.
        std::uint64_t sends = 0;
        ColdShare cold;
    };

    Exchange *byAttempt(AttemptId attempt);
    /// Refuses a request without access to the table of open requests.
    void refuseUnknown(CallerId caller, const std::string &requestId, int status,
                       std::chrono::milliseconds retryAfter, const std::string &reason,
                       Orders &commands);
    void refuse(Instant now, const Exchange &exchange, int status,
                std::chrono::milliseconds retryAfter, const std::string &reason, Orders &commands);
    void finish(Instant now, const Exchange &exchange, const char *how, Orders &commands);
    void dropAttempt(Exchange &exchange, Orders &commands);
    void releasePlace(const std::string &backend);
    void tryAgain(Instant now, Exchange &exchange, const std::string &why, Orders &commands);
    void giveUp(Instant now, Exchange &exchange, const std::string &why, Orders &commands);
    void notRun(Instant now, Exchange &exchange, const AnswerHead &head, Orders &commands);
    void placeWaiting(Instant now, Orders &commands);
    bool place(Instant now, Exchange &exchange, Orders &commands);
    void checkDeadlines(Instant now, Orders &commands);
    void checkSilence(Instant now, Orders &commands);
    /// Why a waiting request is refused now; empty when it may continue to wait.
    std::string reasonToRefuse(Instant now, const Exchange &exchange, std::uint32_t ahead);
    std::chrono::milliseconds comeBackAfter(Instant now, const Exchange &exchange,
                                            std::chrono::milliseconds wait);
    ServiceLoad &loadOf(const Exchange &exchange);
    RetryShare &retriesOf(const std::string &service);
    std::uint32_t usablePlaces(const std::string &service, Instant now) const;
    double coldRateOf(const ServiceDeclaration *service, bool isCold, Instant now) const;
    double shareOfPlaces(const std::string &service, Instant now) const;
    std::uint32_t waitingFor(const std::string &service) const;

    Settings settings;
    RandomSource random;
    std::unique_ptr<RouteTable> routes;
    BackendRoster backends;
    EntryTable peers;
    Exchanges exchanges;
    std::map<AttemptId, CallerId> attempts;
    std::map<std::string, BackendUse> uses;
    std::map<std::string, ServiceLoad> loads;
    std::map<std::string, RetryShare> retries;
    std::map<std::string, ServiceCircuit> circuits;
    std::map<std::string, PaceLimit> paces;
    std::map<std::string, Instant> serviceHeardAt;
    std::optional<Instant> startedAt;
    Instant stopAt = NoDeadline;
    AttemptId nextAttempt = 1;
};

} // namespace Nutmegrill
