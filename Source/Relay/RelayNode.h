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

/// Decisions of an entry that relays requests directly to backend servers: routes, places, lets
/// wait, refuses, tries again, resumes streams and enforces deadlines. It has no clock and no
/// sockets; orders are returned.
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
        /// Off in tests only: a fresh entry takes a smaller part of the cold rate, because what its
        /// former start has sent in the last second is not known.
        bool sparesColdAfterStart = true;
    };

    explicit RelayNode(const Settings &settings);
    ~RelayNode();
    RelayNode(const RelayNode &) = delete;
    RelayNode &operator=(const RelayNode &) = delete;

    /// Takes a configuration in force unless a newer one is.
    void configure(ConfigurationPtr configuration, Orders &orders);
    bool isConfigured() const { return this->routes != nullptr; }
    std::uint64_t configurationVersion() const;
    const Configuration *configuration() const;

    /// In force at once, also for repeats of requests that are under way.
    void setRetryLimit(const RetryShare::Limit &limit);

    /// A planned stop has begun; the process ends at \a end at the latest.
    void beginStop(Instant end) { this->stopAt = end; }

    BackendRoster &roster() { return this->backends; }
    EntryTable &entries() { return this->peers; }

    void requestArrived(Instant now, CallerId caller, RelayRequest request, Orders &orders);
    void callerGone(Instant now, CallerId caller, Orders &orders);

    void headArrived(Instant now, AttemptId attempt, const AnswerHead &head, Orders &orders);
    void eventArrived(Instant now, AttemptId attempt, StreamEvent event, Orders &orders);
    /// The answer is complete. Answers that are no streams are kept by the shell until RelayAnswer
    /// or CancelAttempt.
    void answerEnded(Instant now, AttemptId attempt, Orders &orders);
    void attemptFailed(Instant now, AttemptId attempt, AttemptFailure failure, Orders &orders);

    void tick(Instant now, Orders &orders);

    std::size_t openRequests() const { return this->exchanges.size(); }
    /// Own part of the report to the other entries.
    void fillReport(EntryReport &report) const;

private:
    using Exchanges = std::map<CallerId, Exchange>;
    struct BackendUse
    {
        std::uint32_t running = 0;
        /// Requests that this entry has sent there.
        std::uint64_t sends = 0;
        ColdShare cold;
    };

    Exchange *byAttempt(AttemptId attempt);
    /// Answers a request that is not, or no longer, in the table.
    void refuseUnknown(CallerId caller, const std::string &requestId, int status,
                       std::chrono::milliseconds retryAfter, const std::string &reason,
                       Orders &orders);
    void refuse(Instant now, const Exchange &exchange, int status,
                std::chrono::milliseconds retryAfter, const std::string &reason, Orders &orders);
    void finish(Instant now, const Exchange &exchange, const char *how, Orders &orders);
    void dropAttempt(Exchange &exchange, Orders &orders);
    void releasePlace(const std::string &backend);
    void tryAgain(Instant now, Exchange &exchange, const std::string &why, Orders &orders);
    void giveUp(Instant now, Exchange &exchange, const std::string &why, Orders &orders);
    void notRun(Instant now, Exchange &exchange, const AnswerHead &head, Orders &orders);
    void placeWaiting(Instant now, Orders &orders);
    bool place(Instant now, Exchange &exchange, Orders &orders);
    void checkDeadlines(Instant now, Orders &orders);
    void checkSilence(Instant now, Orders &orders);
    /// Why a waiting request is turned away now; empty when it may go on waiting.
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
