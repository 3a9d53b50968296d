#include "RelayShell/RelayEntry.h"

#include "Core/Hash.h"
#include "Net/EventLog.h"
#include "Relay/RelayLog.h"
#include "RelayShell/PeerCodec.h"
#include "RelayShell/RelayProtocol.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

/// Resolution of deadlines and waits. Callers notice pauses of 120 ms; much shorter periods would
/// cost processor time.
constexpr milliseconds TickPeriod{20};
/// Other entries select backend servers by loads of this age; shorter periods cost processor time.
constexpr milliseconds ReportPeriod{100};
/// The entry's key in the store expires after three missed renewals.
constexpr milliseconds LeaseTime{27000};
constexpr milliseconds RenewPeriod{9000};
/// A lost key is written again within this time.
constexpr milliseconds AnnouncePeriod{3000};
constexpr std::size_t MaxLoggedError = 200;
/// Share of the memory for what is held for callers; the rest covers copies that are being made,
/// connections, the configuration and the process itself.
constexpr std::size_t BudgetPercent = 40;
/// Readiness checks, address lookups and entries send no bodies.
constexpr std::size_t MaxInternalBodyBytes = 64U << 10U;
/// Backend servers should be free half a second after a caller has left; a fifth of that is logged.
constexpr milliseconds LateNotice{100};

RelayNode::Settings nodeSettings(const RelayEntry::Options &options)
{
    RelayNode::Settings settings = options.node;
    settings.peerAddress = options.peerAddress;
    settings.recordsRuns = options.usage.isEnabled();
    return settings;
}

} // namespace

RelayEntry::RelayEntry(EventLoop &loop, const Options &options, const RelayProtocol &protocol,
                       const StateDecoder &decoder, StateStore &store, const DutyProtocol *duties)
    : loop(loop), options(options), protocol(protocol), decoder(decoder), store(store),
      budget(options.memoryBytes / 100 * BudgetPercent), node(nodeSettings(options)),
      attempts(loop, protocol, this->budget,
               {[this](auto attempt) { this->node.attemptConnected(this->loop.now(), attempt); },
                [this](auto attempt, const AnswerHead &head) {
                    this->decide("attempt=" + std::to_string(attempt),
                                 [&](RelayNode::Commands &commands) {
                                     this->node.headArrived(this->loop.now(), attempt, head,
                                                            commands);
                                 });
                },
                [this](auto attempt, StreamEvent event) {
                    this->decide("attempt=" + std::to_string(attempt),
                                 [&](RelayNode::Commands &commands) {
                                     this->node.eventArrived(this->loop.now(), attempt,
                                                             std::move(event), commands);
                                 });
                },
                [this](auto attempt) {
                    this->decide("attempt=" + std::to_string(attempt),
                                 [&](RelayNode::Commands &commands) {
                                     this->node.answerEnded(this->loop.now(), attempt, commands);
                                 });
                },
                [this](auto attempt, AttemptFailure failure) {
                    if (const std::string cause = this->attempts.describeFailed(attempt);
                        !cause.empty())
                        this->log(RelayLog::AnswerInvalid, LogRecord::Level::Warning, cause);
                    this->decide("attempt=" + std::to_string(attempt),
                                 [&](RelayNode::Commands &commands) {
                                     this->node.attemptFailed(this->loop.now(), attempt, failure,
                                                              commands);
                                 });
                }}),
      storeContact(options.heartbeatPeriod),
      storeFeed(loop, store,
                {[this](const StoreMirror::Changes &changes) { this->applyChanges(changes); },
                 [this] {
                     this->storeAnsweredAt = this->loop.now();
                     this->recordStoreAnswer(milliseconds(0));
                 },
                 [this](const std::string &reason) {
                     this->log(RelayLog::StoreLost, LogRecord::Level::Warning,
                               "reason=\"" + reason + "\" revision="
                                       + std::to_string(
                                               this->storeFeed.mirror().position().revision));
                 },
                 [this](milliseconds outage) {
                     this->log(RelayLog::StoreRegained, LogRecord::Level::Info,
                               "away_ms=" + std::to_string(outage.count()));
                 },
                 [this](StorePosition before) { this->storeRestored(before); }},
                options.incarnation),
      callerListener(
              loop, options.callerAddress, options.maxConnections,
              [this](HttpListener::Request &&request) { this->handleRequest(std::move(request)); }),
      readinessListener(
              loop, options.readinessAddress, options.maxConnections,
              [this](const HttpListener::Request &request) { this->answerReadiness(request); }),
      directoryListener(
              loop, options.directoryAddress, options.maxConnections,
              [this](const HttpListener::Request &request) { this->answerDirectory(request); }),
      peerListener(loop, options.peerAddress, options.maxConnections,
                   [this](const HttpListener::Request &request) { this->answerPeer(request); }),
      metricsListener(loop, options.metricsAddress, options.maxConnections,
                      [this](const HttpListener::Request &request) {
                          if (auto *connection = this->metricsListener.find(request.id))
                              connection->reply(200, {},
                                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                                this->metrics.text());
                      }),
      reportSocket(loop, options.peerAddress,
                   [this](std::string_view bytes) { this->handleDatagram(bytes); }),
      loopLag(TickPeriod)
{
    ServerLimits internal;
    internal.bodyBytes = MaxInternalBodyBytes;
    for (HttpListener *listener :
         {&this->callerListener, &this->readinessListener, &this->directoryListener,
          &this->peerListener, &this->metricsListener}) {
        listener->setBudget(this->budget);
        listener->onRejected([this](int status) { this->requestRejected(status); });
        if (listener != &this->callerListener)
            listener->setLimits(internal);
    }
    this->callerListener.onCallerDisconnected(
            [this](HttpListener::RequestId id) { this->callerDisconnected(id); });
    this->callerListener.onDrained([this](HttpListener::RequestId id) {
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || !found->second.isPaused)
            return;
        found->second.isPaused = false;
        this->attempts.pause(found->second.attempt, false);
    });
    if (options.usage.isEnabled() && duties != nullptr) {
        UsageDuty::Options usage = options.usage;
        usage.name = options.name;
        usage.peerAddress = options.peerAddress;
        usage.incarnation = options.incarnation;
        this->usageDuty = std::make_unique<UsageDuty>(
                loop, usage, *duties, decoder, store, this->metrics,
                UsageDuty::Handlers{[this](const std::string &address, const std::string &bytes) {
                                        this->sendMessage(address, bytes);
                                    },
                                    [this](const LogRecord &record) {
                                        EventLog::writeRateLimited(this->loop.now(), record);
                                    }});
    }
    this->tickTimer = loop.every(TickPeriod, [this] { this->tick(); });
    this->reportTimer = loop.every(ReportPeriod, [this] { this->sendReports(); });
    this->announceTimer = loop.every(AnnouncePeriod, [this] { this->announce(); });
    this->terminateSignal = loop.onSignal(SIGTERM, [this] { this->beginStop(); });
    this->announce();
    this->log(RelayLog::Started, LogRecord::Level::Info,
              "incarnation=" + std::to_string(options.incarnation)
                      + " callers=" + options.callerAddress + " peers=" + options.peerAddress);
}

RelayEntry::~RelayEntry() = default;

std::string RelayEntry::startError() const
{
    const std::pair<const HttpListener *, const std::string *> listeners[] = {
            {&this->callerListener, &this->options.callerAddress},
            {&this->readinessListener, &this->options.readinessAddress},
            {&this->directoryListener, &this->options.directoryAddress},
            {&this->peerListener, &this->options.peerAddress},
            {&this->metricsListener, &this->options.metricsAddress}};
    for (const auto &[listener, address] : listeners) {
        if (!listener->isListening())
            return "cannot listen on " + *address;
    }
    return this->reportSocket.isOpen() ? "" : "cannot open UDP " + this->options.peerAddress;
}

void RelayEntry::reload(const Options &fresh, const std::string &what)
{
    this->options.graceTime = fresh.graceTime;
    this->node.setRetryLimit(fresh.node.retryLimit);
    this->node.setHedgeRatio(fresh.node.hedgeRatio);
    this->log(RelayLog::Reloaded, LogRecord::Level::Info, what);
}

void RelayEntry::run()
{
    this->loop.run();
    this->log(RelayLog::Stopped, LogRecord::Level::Info,
              "open_requests=" + std::to_string(this->node.openRequests()));
}

void RelayEntry::log(std::uint32_t number, LogRecord::Level level, const std::string &text)
{
    EventLog::writeRateLimited(this->loop.now(), {number, level, text});
}

bool RelayEntry::isServing() const
{
    return this->node.isConfigured() && !this->stop;
}

void RelayEntry::decide(const std::string &subject,
                        const std::function<void(RelayNode::Commands &)> &step)
{
    RelayNode::Commands commands;
    try {
        step(commands);
    } catch (const std::exception &error) {
        this->logUnexpected(subject, error);
    }
    this->execute(commands);
}

void RelayEntry::handleRequest(HttpListener::Request &&request)
{
    const auto id = request.id;
    try {
        this->startRequest(std::move(request));
    } catch (const std::exception &error) {
        this->logUnexpected("request=" + std::to_string(id), error);
        this->dropCaller(id);
    }
}

void RelayEntry::requestRejected(int status)
{
    this->metrics.add("nutmegrill_rejected_unread_total", {{"status", std::to_string(status)}});
    this->log(RelayLog::RejectedUnread, LogRecord::Level::Warning,
              "status=" + std::to_string(status)
                      + " held_bytes=" + std::to_string(this->budget.heldBytes()));
}

void RelayEntry::logUnexpected(const std::string &where, const std::exception &error)
{
    this->metrics.add("nutmegrill_unexpected_errors_total", {});
    this->log(RelayLog::UnexpectedError, LogRecord::Level::Error,
              where + " error=\"" + std::string(error.what()).substr(0, MaxLoggedError) + "\"");
}

void RelayEntry::startRequest(HttpListener::Request &&request)
{
    const Instant now = this->loop.now();
    const auto id = request.id;
    RelayRequest facts = this->protocol.readRequest(request.head);
    OpenRequest &open = this->requests[id];
    open.requestId = facts.id;
    open.head = std::move(request.head);
    open.body = std::move(request.body);
    open.arrivedAt = now;
    facts.contentHash = hash64(open.head.method + ' ' + open.head.target + '\n' + facts.host + '\n'
                               + facts.key + '\n' + open.body);
    RelayNode::Commands commands;
    this->node.requestArrived(now, id, std::move(facts), commands);
    this->execute(commands);
}

void RelayEntry::callerDisconnected(HttpListener::RequestId id)
{
    const Instant now = this->loop.now();
    if (const auto found = this->requests.find(id); found != this->requests.end()) {
        if (const milliseconds within = this->loopLag.maxEventAge(now); within >= LateNotice)
            this->log(RelayLog::LeaveNoticedLate, LogRecord::Level::Warning,
                      "request=" + found->second.requestId
                              + " within_ms=" + std::to_string(within.count()));
        this->requests.erase(found);
    }
    RelayNode::Commands commands;
    this->node.callerDisconnected(now, id, commands);
    this->execute(commands);
}

void RelayEntry::answerReadiness(const HttpListener::Request &request)
{
    const bool isReadinessPath = request.path() == this->protocol.readinessPath();
    const int ready = this->isServing() ? 200 : 503;
    if (auto *connection = this->readinessListener.find(request.id))
        connection->reply(isReadinessPath ? ready : 404, {}, {}, {});
}

void RelayEntry::answerDirectory(const HttpListener::Request &request)
{
    auto *connection = this->directoryListener.find(request.id);
    if (connection == nullptr)
        return;
    if (request.path() != this->protocol.directoryPath()) {
        connection->reply(404, {}, {}, {});
        return;
    }
    std::vector<std::string> addresses = this->node.entries().servingAddresses(this->loop.now());
    if (this->isServing())
        addresses.push_back(this->options.callerAddress);
    if (addresses.empty()) {
        connection->reply(503, {}, {}, {});
        return;
    }
    connection->reply(200, {}, {{"Content-Type", "application/json"}},
                      this->protocol.writeDirectory(addresses, this->options.directoryLifetime));
}

void RelayEntry::applyChanges(const StoreMirror::Changes &changes)
{
    const Instant now = this->loop.now();
    RelayNode::Commands commands;
    auto domainsOut = this->node.roster().takenOutDomains();
    for (const StoreChange &change : changes) {
        const StateDecoder::DecodedChange decoded = this->decode(change);
        if (const auto *configuration = std::get_if<ConfigurationPtr>(&decoded)) {
            const CallerLimits &limits = (*configuration)->callerLimits;
            this->callerListener.setLimits({limits.bodyBytes, limits.headerTime, limits.idleTime});
            HttpParser::setRequestHeadLimit(limits.headerBytes);
            this->node.configure(*configuration, commands);
        } else if (const auto *record = std::get_if<BackendRecord>(&decoded)) {
            BackendRoster &roster = this->node.roster();
            if (change.isDoubtful ? roster.updateDoubtful(now, *record)
                                  : roster.update(now, *record))
                this->log(RelayLog::BackendChanged, LogRecord::Level::Info,
                          "backend=" + record->id + " service=" + record->service
                                  + " address=" + record->address
                                  + " leaving=" + std::to_string(record->isLeaving)
                                  + " cold_ms=" + std::to_string(record->coldLeft.count())
                                  + " revision=" + std::to_string(change.revision));
        } else if (const auto *removed = std::get_if<StateDecoder::BackendRemoved>(&decoded)) {
            const Instant usableUntil = this->node.roster().remove(now, removed->id);
            this->log(RelayLog::BackendRemoved, LogRecord::Level::Info,
                      "backend=" + removed->id + " revision=" + std::to_string(change.revision)
                              + " usable_ms="
                              + std::to_string(std::chrono::duration_cast<milliseconds>(
                                                       std::max(usableUntil, now) - now)
                                                       .count()));
        } else if (const auto *domain = std::get_if<StateDecoder::DomainTakeOut>(&decoded)) {
            // The take-out has ended since the copy was made.
            if (change.isDoubtful && domainsOut.count(domain->failureDomain) == 0)
                continue;
            domain->isOut ? static_cast<void>(domainsOut.insert(domain->failureDomain))
                          : static_cast<void>(domainsOut.erase(domain->failureDomain));
            this->log(RelayLog::DomainsOut, LogRecord::Level::Info,
                      "domain=" + domain->failureDomain + " out=" + std::to_string(domain->isOut)
                              + " revision=" + std::to_string(change.revision));
        } else if (const auto *entry = std::get_if<StateDecoder::EntryAnnounced>(&decoded)) {
            if (entry->peerAddress != this->options.peerAddress)
                this->node.entries().addAddress(now, entry->peerAddress);
        } else if (const auto *crashes = std::get_if<StateDecoder::CrashesRecorded>(&decoded)) {
            if (!crashes->value)
                this->node.requestQuarantine().recordUnstored(crashes->trait);
            else if (const auto report = decodeCrashReport(*crashes->value))
                this->node.requestQuarantine().recordStored(now, *report, change.revision);
        } else if (const auto *unreadable = std::get_if<StateDecoder::Unreadable>(&decoded)) {
            if (unreadable->backend)
                this->node.roster().removeUnreadable(now, *unreadable->backend);
            this->log(unreadable->backend ? RelayLog::BackendUnreadable
                                          : RelayLog::ConfigurationUnreadable,
                      LogRecord::Level::Warning,
                      "key=" + change.key + " reason=\"" + unreadable->reason
                              + "\" revision=" + std::to_string(change.revision));
        }
    }
    this->node.roster().setTakenOutDomains(std::move(domainsOut));
    this->execute(commands);
}

StateDecoder::DecodedChange RelayEntry::decode(const StoreChange &change)
{
    try {
        return this->decoder.decode(change);
    } catch (const std::exception &error) {
        this->logUnexpected("key=" + change.key, error);
        return {};
    }
}

void RelayEntry::recordStoreAnswer(milliseconds age)
{
    if (this->storeContact.recordAnswer(this->loop.now(), age, !this->storeFeed.isConnected()))
        this->storeOutageEnded();
}

void RelayEntry::storeOutageEnded()
{
    const Instant at = *this->storeContact.returnedAt();
    this->node.roster().storeReturned(at);
    const auto age = std::chrono::duration_cast<milliseconds>(this->loop.now() - at);
    this->log(RelayLog::StoreOutageEnded, LogRecord::Level::Info,
              "outage_ms=" + std::to_string(this->storeContact.gapLength().count())
                      + " ended_ms_ago=" + std::to_string(age.count()) + " revision="
                      + std::to_string(this->storeFeed.mirror().position().revision));
}

void RelayEntry::storeRestored(StorePosition before)
{
    const Instant now = this->loop.now();
    this->storeContact.recordRestore(now);
    this->node.roster().storeReturned(now);
    this->node.requestQuarantine().forgetStored();
    const StorePosition position = this->storeFeed.mirror().position();
    this->log(RelayLog::StoreRestored, LogRecord::Level::Warning,
              "generation=" + std::to_string(position.generation)
                      + " revision=" + std::to_string(position.revision)
                      + " before=" + std::to_string(before.revision));
}

bool RelayEntry::holdsLease() const
{
    // A restored store gives out the numbers of leases again.
    return this->lease != 0
           && this->leaseGeneration >= this->storeFeed.mirror().position().generation;
}

void RelayEntry::announce()
{
    if (this->isAnnouncing || this->stop)
        return;
    if (this->holdsLease() && this->loop.now() < this->renewAt)
        return;
    this->isAnnouncing = true;
    if (this->holdsLease()) {
        this->renewAt = this->loop.now() + RenewPeriod - AnnouncePeriod / 2;
        this->store.renewLease(this->lease, [this](const StateStore::Result &result) {
            this->isAnnouncing = false;
            const bool isLost = result.status == StateStore::Status::LeaseNotFound
                                || result.generation > this->leaseGeneration;
            if (isLost)
                this->lease = 0;
            this->storeFeed.recordCall(result);
            if (isLost)
                this->announce();
        });
        return;
    }
    this->store.grantLease(LeaseTime, [this](const StateStore::Result &granted) {
        if (granted.status != StateStore::Status::Ok) {
            this->isAnnouncing = false;
            return;
        }
        this->lease = granted.lease;
        this->leaseGeneration = granted.generation;
        this->renewAt = this->loop.now() + RenewPeriod - AnnouncePeriod / 2;
        const std::string key = this->decoder.entryKey(this->options.name + "-"
                                                       + std::to_string(this->options.incarnation));
        // The copy of a restored store may have the key under an earlier lease.
        const auto &items = this->storeFeed.mirror().items();
        const auto own = items.find(key);
        this->store.write(key, this->options.peerAddress,
                          own == items.end() ? 0 : own->second.revision, this->lease,
                          [this](const StateStore::Result &written) {
                              this->isAnnouncing = false;
                              if (written.status != StateStore::Status::Ok)
                                  this->lease = 0;
                          });
    });
}

void RelayEntry::tick()
{
    const Instant now = this->loop.now();
    this->storeContact.noteTime(now);
    if (const auto lag = this->loopLag.tick(now, this->metrics))
        this->log(RelayLog::LoopLate, LogRecord::Level::Warning,
                  "lag_ms=" + std::to_string(lag->count()));
    this->decide("tick", [&](RelayNode::Commands &commands) { this->node.tick(now, commands); });
    this->attempts.tick(now);
    for (HttpListener *listener :
         {&this->callerListener, &this->readinessListener, &this->directoryListener,
          &this->peerListener, &this->metricsListener})
        listener->tick(now);
    if (this->isServing() && !this->wasServing) {
        this->wasServing = true;
        this->log(RelayLog::Ready, LogRecord::Level::Info,
                  "config=" + std::to_string(this->node.configurationVersion()) + " revision="
                          + std::to_string(this->storeFeed.mirror().position().revision));
    }
    if (!this->stop)
        return;
    this->continueStop(now);
}

void RelayEntry::continueStop(Instant now)
{
    if (now >= this->stop->closeAt) {
        this->callerListener.stopAccepting();
        this->callerListener.closeIdle();
    }
    if (now >= this->stop->answerAt && this->node.openRequests() > 0) {
        this->decide("planned stop", [&](RelayNode::Commands &commands) {
            this->node.endOpenRequests(now, commands);
        });
        // The answers leave the process with the next iteration of the loop.
        return;
    }
    const bool isSending = this->callerListener.hasUnsentBytes();
    if (now >= this->stop->latestExitAt || (now >= this->stop->exitAt && !isSending)
        || (now >= this->stop->closeAt && this->node.openRequests() == 0
            && this->callerListener.connectionCount() == 0))
        this->loop.stop();
}

void RelayEntry::beginStop()
{
    if (this->stop)
        return;
    const Instant now = this->loop.now();
    // The process is killed a grace time after the signal arrived, however late that is noticed.
    this->stop =
            StopAdmission::phasesOf(now - this->loopLag.maxEventAge(now), this->options.graceTime);
    this->log(RelayLog::StopBegan, LogRecord::Level::Info,
              "open_requests=" + std::to_string(this->node.openRequests()));
    this->node.beginStop(this->stop->exitAt);
    this->callerListener.announceClose();
    if (this->holdsLease())
        this->store.revokeLease(this->lease);
    if (this->usageDuty != nullptr)
        this->usageDuty->end();
    this->sendReports();
}

} // namespace Nutmegrill
