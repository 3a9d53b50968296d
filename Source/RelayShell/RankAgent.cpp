#include "RelayShell/RankAgent.h"

#include "Net/EventLog.h"
#include "Relay/RelayLog.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{20};
/// The engine runs on the same machine, so reading its report is cheap. The shorter period applies
/// during a map change.
constexpr milliseconds ReportPeriod{250};
constexpr milliseconds BusyReportPeriod{40};
constexpr milliseconds CountsPeriod{300};
/// The list of agents changes only with the instances. It is read with serializable reads, which
/// may be stale and are cheap for the store.
constexpr milliseconds PeersPeriod{4000};
/// An agent that starts finds the others by itself.
constexpr milliseconds SettledPeersPeriod{20000};
constexpr milliseconds ProfilePeriod{1000};
constexpr milliseconds TrafficLogPeriod{5000};
constexpr milliseconds EngineTimeout{300};
/// A command without an answer within this time is sent again. The engine answers commands within a
/// few milliseconds.
constexpr milliseconds CommandTimeout{50};
/// A planned stop waits for a map change in progress, which takes some tenths of a second.
constexpr milliseconds StopTimeout{3000};
constexpr std::size_t MaxMetricsConnections = 16;
constexpr std::size_t MaxLoggedError = 200;
/// A map change begins above StartSkew and is planned to reach TargetSkew. The requests of a single
/// step vary by more than the difference, and every change slows the steps while it copies; see
/// docs/measurements/platform.md.
constexpr double StartSkew = 1.35;
constexpr double TargetSkew = 1.15;
/// A smaller gain does not make up for the slower steps during the copy.
constexpr double MinImprovement = 0.2;
/// Demand shifts every few seconds, so a plan has to pay off within this time.
constexpr std::chrono::seconds DemandHorizon{6};
/// Steps take 15% longer while experts are copied, according to the engine's specification.
constexpr double CopySlowdown = 0.15;

const char *commandName(EngineCommand::Kind kind)
{
    switch (kind) {
    case EngineCommand::Kind::Prepare:
        return "prepare";
    case EngineCommand::Kind::Hold:
        return "hold";
    case EngineCommand::Kind::Arm:
        return "arm";
    case EngineCommand::Kind::Release:
        return "release";
    }
    return "";
}

} // namespace

RankAgent::RankAgent(EventLoop &loop, const Options &options, const EngineProtocol &protocol,
                     const StateDecoder &decoder, StateStore &store)
    : loop(loop), options(options), protocol(protocol), decoder(decoder), store(store),
      metricsListener(loop, options.metricsAddress, MaxMetricsConnections,
                      [this](const HttpListener::Request &request) {
                          if (auto *connection = this->metricsListener.find(request.id))
                              connection->reply(200, {},
                                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                                this->metrics.text());
                      }),
      peerSocket(loop, options.ip + ":" + std::to_string(options.peerPort),
                 [this](std::string_view bytes) {
                     try {
                         this->handleDatagram(bytes);
                     } catch (const std::exception &error) {
                         this->metrics.add("nutmegrill_unexpected_errors_total", {});
                         this->log(RelayLog::UnexpectedError,
                                   "bytes=" + std::to_string(bytes.size()) + " error=\""
                                           + std::string(error.what()).substr(0, MaxLoggedError)
                                           + "\"");
                     }
                 }),
      exchange(GroupExchange::Settings::forLink(options.linkBytesPerSecond)),
      engine(loop, options.engineAddress), loopLag(TickPeriod)
{
    this->state.engineAddress = options.engineAddress;
    this->state.address = options.ip + ":" + std::to_string(options.peerPort);
    this->state.incarnation = options.incarnation;
    this->rankSwitch = std::make_unique<RankSwitch>();
    this->tickTimer = loop.every(TickPeriod, [this] { this->tick(); });
    this->terminateSignal = loop.onSignal(SIGTERM, [this] {
        if (this->stopAt == NoDeadline)
            this->stopAt = this->loop.now() + StopTimeout;
        this->log(RelayLog::StopBegan,
                  "switching=" + std::to_string(this->rankSwitch->isSwitching()));
    });
    this->log(RelayLog::Started, "incarnation=" + std::to_string(options.incarnation)
                                         + " engine=" + options.engineAddress);
}

RankAgent::~RankAgent() = default;

std::string RankAgent::startError() const
{
    if (!this->metricsListener.isListening())
        return "cannot listen on " + this->options.metricsAddress;
    return this->peerSocket.isOpen() ? "" : "cannot open UDP " + this->state.address;
}

void RankAgent::logReload(const std::string &what)
{
    this->log(RelayLog::Reloaded, what);
}

void RankAgent::run()
{
    this->loop.run();
    this->log(RelayLog::Stopped, "switching=" + std::to_string(this->rankSwitch->isSwitching()));
}

void RankAgent::log(std::uint32_t number, const std::string &text)
{
    EventLog::writeRateLimited(this->loop.now(), {number, LogRecord::Level::Info, text});
}

std::uint32_t RankAgent::rank() const
{
    return this->rankSwitch->engine() ? this->rankSwitch->engine()->rank : 0;
}

void RankAgent::readEngineProfile()
{
    this->store.readConfiguration([this](const StateStore::Result &result) {
        for (const StoreChange &change : result.changes) {
            const auto decoded = this->decoder.decode(change);
            const auto *configuration = std::get_if<ConfigurationPtr>(&decoded);
            const ServiceDeclaration *service =
                    configuration == nullptr ? nullptr
                                             : (*configuration)->findService(this->options.service);
            if (service == nullptr || service->experts.count == 0 || this->owner != nullptr)
                continue;
            const ExpertProfile &experts = service->experts;
            SwitchOwner::Settings settings;
            settings.layers = experts.layers;
            settings.experts = experts.count;
            settings.placements = experts.placesPerRank;
            settings.spares = experts.loadsPerChange;
            settings.planner.startSkew = StartSkew;
            settings.planner.startAfter = std::chrono::seconds(0);
            settings.planner.targetSkew = TargetSkew;
            settings.planner.minImprovement = MinImprovement;
            settings.planner.horizon = DemandHorizon;
            settings.planner.loadSlowdown = CopySlowdown;
            settings.planner.expertBytes = experts.bytes;
            settings.planner.storeRate = experts.copyRate;
            settings.planner.loadsPerRank = experts.loadsPerChange;
            settings.planner.chains = false;
            this->owner = std::make_unique<SwitchOwner>(
                    settings, PlanNumbering(this->options.startedAt, this->options.planTag));
            this->log(RelayLog::ConfigurationInForce,
                      "version=" + std::to_string((*configuration)->version)
                              + " layers=" + std::to_string(experts.layers)
                              + " experts=" + std::to_string(experts.count));
        }
    });
}

void RankAgent::readPeers()
{
    this->store.readBackends([this](const StateStore::Result &result) {
        if (result.status != StateStore::Status::Ok)
            return;
        std::set<std::string> found;
        for (const StoreChange &change : result.changes) {
            const auto decoded = this->decoder.decode(change);
            const auto *record = std::get_if<BackendRecord>(&decoded);
            if (record == nullptr || record->service != this->options.service)
                continue;
            const std::string ip = record->address.substr(0, record->address.find(':'));
            if (ip != this->options.ip)
                found.insert(ip + ":" + std::to_string(this->options.peerPort));
        }
        // Records expire while the store is unreachable. A shorter list therefore removes no peer.
        if (found.size() >= this->peerAddresses.size())
            this->peerAddresses = std::move(found);
        else
            this->peerAddresses.insert(found.begin(), found.end());
        this->exchange.setPeers(this->peerAddresses);
    });
}

void RankAgent::tick()
{
    const Instant now = this->loop.now();
    if (const auto lag = this->loopLag.tick(now, this->metrics))
        this->log(RelayLog::LoopLate, "lag_ms=" + std::to_string(lag->count()));
    if (now >= this->nextTrafficAt) {
        this->nextTrafficAt = now + TrafficLogPeriod;
        this->logTraffic();
    }
    if (now >= this->nextPeersAt) {
        this->nextPeersAt =
                now + (this->exchange.isSettled(now) ? SettledPeersPeriod : PeersPeriod);
        this->readPeers();
    }
    if (this->owner == nullptr && now >= this->nextProfileAt) {
        this->nextProfileAt = now + ProfilePeriod;
        this->readEngineProfile();
    }
    // The reports of an idle engine are far apart; the agent has to see a hold in time.
    if (this->rankSwitch->isBusy())
        this->nextReportAt = std::min(this->nextReportAt, now + BusyReportPeriod);
    // One call to the engine at a time, the most urgent first.
    this->sendNextCommand();
    if (!this->engine.isBusy() && now >= this->nextReportAt)
        this->readReport();
    if (!this->engine.isBusy() && now >= this->nextCountsAt)
        this->readCounts();
    if (!this->engine.isBusy() && !this->expertsKnown && this->engineReachable)
        this->readExperts();
    this->giveHold();
    this->takeOverSilentRanks();
    this->exchangeStates();
    this->metricsListener.tick(now);
    if (this->stopAt != NoDeadline && (!this->rankSwitch->isSwitching() || now >= this->stopAt))
        this->loop.stop();
}

void RankAgent::readReport()
{
    this->nextReportAt =
            this->loop.now() + (this->rankSwitch->isBusy() ? BusyReportPeriod : ReportPeriod);
    this->engine.call(
            this->protocol.reportRequest(), EngineTimeout,
            [this](int status, const std::string &body) {
                const auto report = status == 200 ? this->protocol.readReport(body) : std::nullopt;
                if (this->engineReachable != report.has_value()) {
                    this->engineReachable = report.has_value();
                    this->log(this->engineReachable ? RelayLog::EngineRegained
                                                    : RelayLog::EngineLost,
                              "engine=" + this->options.engineAddress
                                      + " status=" + std::to_string(status));
                }
                if (!report)
                    return;
                if (report->rank >= report->ranks) {
                    this->logInvalidRank(*report, this->options.engineAddress);
                    return;
                }
                const auto &before = this->rankSwitch->engine();
                if (!before || before->epoch != report->epoch
                    || before->mapVersion != report->mapVersion || before->rank != report->rank
                    || !report->isOfGroup({before->group, before->ranks}))
                    this->engineChanged(*report);
                this->pace.reported(this->loop.now(), report->pace);
                // A slow report is confirmed without waiting for the next regular ones.
                if (this->pace.isPending())
                    this->nextReportAt =
                            std::min(this->nextReportAt, this->loop.now() + BusyReportPeriod);
                this->rankSwitch->engineReported(*report);
                this->sendNextCommand();
            });
}

void RankAgent::engineChanged(const EngineState &engine)
{
    this->expertsKnown = false;
    this->state.experts.clear();
    const auto &before = this->rankSwitch->engine();
    // A new start of the engine is not slow until it reports so.
    if (before && (before->epoch != engine.epoch || before->rank != engine.rank))
        this->pace = {};
    if (before && !engine.isOfGroup({before->group, before->ranks})) {
        this->takeovers.clear();
        this->lastCounts.clear();
    }
    this->log(RelayLog::MapInUse, "group=" + engine.group + " epoch=" + std::to_string(engine.epoch)
                                          + " rank=" + std::to_string(engine.rank)
                                          + " open=" + std::to_string(engine.isOpen)
                                          + " version=" + std::to_string(engine.mapVersion)
                                          + " step=" + std::to_string(engine.step));
}

void RankAgent::logInvalidRank(const EngineState &engine, const std::string &from)
{
    this->log(RelayLog::RankStateInvalid,
              "group=" + engine.group + " rank=" + std::to_string(engine.rank)
                      + " ranks=" + std::to_string(engine.ranks) + " from=" + from);
}

void RankAgent::readCounts()
{
    this->nextCountsAt = this->loop.now() + CountsPeriod;
    this->engine.call(this->protocol.countsRequest(), EngineTimeout,
                      [this](int status, const std::string &body) {
                          auto counts =
                                  status == 200 ? this->protocol.readCounts(body) : std::nullopt;
                          if (!counts || !this->rankSwitch->engine())
                              return;
                          ExpertCounts sample;
                          sample.group = this->rankSwitch->engine()->group;
                          sample.rank = this->rank();
                          sample.epoch = this->rankSwitch->engine()->epoch;
                          // The engine resets its counts when it starts.
                          if (this->lastCounts.size() == counts->size()) {
                              for (std::size_t index = 0; index < counts->size(); ++index)
                                  sample.counts.push_back(
                                          (*counts)[index]
                                          - std::min(this->lastCounts[index], (*counts)[index]));
                              if (this->owner != nullptr && this->exchange.isHub())
                                  this->owner->addCounts(sample);
                              this->exchange.countsSampled(std::move(sample));
                          }
                          this->lastCounts = std::move(*counts);
                      });
}

void RankAgent::readExperts()
{
    this->engine.call(this->protocol.expertsRequest(), EngineTimeout,
                      [this](int status, const std::string &body) {
                          auto experts =
                                  status == 200 ? this->protocol.readExperts(body) : std::nullopt;
                          if (!experts)
                              return;
                          this->state.experts = std::move(*experts);
                          this->expertsKnown = true;
                      });
}

void RankAgent::sendNextCommand()
{
    if (this->engine.isBusy())
        return;
    const auto command = this->rankSwitch->nextCommand(this->loop.now());
    if (!command)
        return;
    this->engine.call(this->protocol.commandRequest(*command), CommandTimeout,
                      [this, command](int status, const std::string &) {
                          const EngineCommandResult answer =
                                  this->protocol.readCommandResult(status);
                          this->logCommand(*command, this->rank(), status);
                          this->rankSwitch->commandAnswered(this->loop.now(), *command, answer);
                          this->nextReportAt = this->loop.now();
                      });
}

void RankAgent::giveHold()
{
    const RankState *holder = this->exchange.find(RankSwitch::Holder);
    if (this->rank() != RankSwitch::HoldGiver || holder == nullptr || holder->engineAddress.empty())
        return;
    if (this->holderEngine == nullptr || this->holderEngine->address() != holder->engineAddress) {
        if (this->holderEngine != nullptr && this->holderEngine->isBusy())
            return;
        this->holderEngine = std::make_unique<EngineLink>(this->loop, holder->engineAddress);
    }
    if (this->holderEngine->isBusy())
        return;
    const auto command = this->rankSwitch->nextHold(this->loop.now());
    if (!command)
        return;
    this->holderEngine->call(this->protocol.commandRequest(*command), CommandTimeout,
                             [this, command](int status, const std::string &) {
                                 this->logCommand(*command, RankSwitch::Holder, status);
                                 this->rankSwitch->holdAnswered(
                                         this->loop.now(), *command,
                                         this->protocol.readCommandResult(status));
                             });
}

void RankAgent::logCommand(const EngineCommand &command, std::uint32_t rank, int status)
{
    this->log(RelayLog::EngineOrdered,
              std::string("kind=") + commandName(command.kind) + " rank=" + std::to_string(rank)
                      + " version=" + std::to_string(command.change.version)
                      + " step=" + std::to_string(command.change.step) + " epoch="
                      + std::to_string(command.epoch) + " status=" + std::to_string(status));
}

void RankAgent::takeOverSilentRanks()
{
    const Instant now = this->loop.now();
    const std::vector<std::uint32_t> silent = this->exchange.silentRanks(now);
    std::erase_if(this->takeovers, [&silent](const auto &entry) {
        return std::find(silent.begin(), silent.end(), entry.first) == silent.end();
    });
    for (const std::uint32_t rank : silent) {
        const RankState *known = this->exchange.find(rank);
        if (known->engineAddress.empty())
            continue;
        Takeover &takeover = this->takeovers[rank];
        if (takeover.engine == nullptr) {
            takeover.engine = std::make_unique<EngineLink>(this->loop, known->engineAddress);
            const auto silence = now - this->exchange.heardAt(rank);
            this->log(RelayLog::OwnerDecided,
                      "takes over silent rank=" + std::to_string(rank) + " silent_ms="
                              + std::to_string(
                                      std::chrono::duration_cast<milliseconds>(silence).count()));
        }
        this->driveTakeover(rank, takeover);
    }
}

void RankAgent::driveTakeover(std::uint32_t rank, Takeover &takeover)
{
    const Instant now = this->loop.now();
    if (takeover.engine->isBusy())
        return;
    for (const RankState *known : this->exchange.states()) {
        if (known->engine.rank != rank)
            takeover.rankSwitch.peerReported(*known);
    }
    RankState own;
    this->describe(own);
    takeover.rankSwitch.peerReported(own);
    if (const auto command = takeover.rankSwitch.nextCommand(now)) {
        takeover.engine->call(this->protocol.commandRequest(*command), CommandTimeout,
                              [this, rank, command](int status, const std::string &) {
                                  this->logCommand(*command, rank, status);
                                  const auto found = this->takeovers.find(rank);
                                  if (found == this->takeovers.end())
                                      return;
                                  found->second.rankSwitch.commandAnswered(
                                          this->loop.now(), *command,
                                          this->protocol.readCommandResult(status));
                                  found->second.nextReportAt = this->loop.now();
                              });
        return;
    }
    if (now < takeover.nextReportAt)
        return;
    takeover.nextReportAt = now + BusyReportPeriod;
    takeover.engine->call(this->protocol.reportRequest(), EngineTimeout,
                          [this, rank](int status, const std::string &body) {
                              const auto found = this->takeovers.find(rank);
                              const auto report = status == 200 ? this->protocol.readReport(body)
                                                                : std::nullopt;
                              const RankState *known = this->exchange.find(rank);
                              if (found == this->takeovers.end() || !report || known == nullptr
                                  || report->rank != rank
                                  || !report->isOfGroup({known->engine.group, known->engine.ranks}))
                                  return;
                              found->second.rankSwitch.engineReported(*report);
                              RankState seen = *known;
                              seen.engine = *report;
                              // Only the rank's own agent knows whether its pace has lasted.
                              seen.engine.pace = known->engine.pace;
                              this->exchange.stateReadForPeer(seen);
                              this->rankSwitch->peerReported(seen);
                          });
}

std::optional<OwnerCommand> RankAgent::tickOwner()
{
    const Instant now = this->loop.now();
    if (this->owner == nullptr || this->stopAt != NoDeadline)
        return std::nullopt;
    RankState own = this->state;
    this->describe(own);
    own.sequence = ++this->ownReports;
    this->owner->enterGroup({own.engine.group, own.engine.ranks});
    this->owner->report(now, own);
    this->state.wantsExperts = this->owner->wantsExperts();
    const auto command = this->owner->tick(now, this->rank());
    if (const std::string logText = this->owner->takeLogText(); !logText.empty())
        this->log(RelayLog::OwnerDecided, logText);
    if (const std::string group = this->owner->takeObservation(now); !group.empty())
        this->log(RelayLog::GroupObserved, group);
    return command;
}

} // namespace Nutmegrill
