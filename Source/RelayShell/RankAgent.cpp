#include "RelayShell/RankAgent.h"

#include "Net/EventLog.h"
#include "Relay/RelayLog.h"
#include "RelayShell/PeerCodec.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{20};
/// The engine's report is free on its own machine; the shorter period holds during a change.
constexpr milliseconds ReportPeriod{250};
constexpr milliseconds BusyReportPeriod{40};
constexpr milliseconds CountsPeriod{300};
/// Datagrams of a former start are not under way for longer.
constexpr milliseconds StartPause{500};
constexpr milliseconds StatePeriod{250};
constexpr milliseconds BusyStatePeriod{40};
constexpr milliseconds CommandPeriod{60};
/// Agents come and go with instances; stale reads of the list are cheap.
constexpr milliseconds PeersPeriod{4000};
constexpr milliseconds ProfilePeriod{1000};
constexpr milliseconds EngineAnswerLimit{300};
/// An order without an answer within this time is given again; the engine answers orders within a
/// few milliseconds.
constexpr milliseconds OrderAnswerLimit{50};
/// A change in hand is carried through before a planned stop, which takes some tenths of a second.
constexpr milliseconds StopLimit{3000};
constexpr std::size_t MetricsConnections = 16;
/// A change begins above the first skew and is planned down to the second. Single steps vary by
/// more than that, so lower values only copy more experts; see docs/measurements/platform.md.
constexpr double StartSkew = 1.20;
constexpr double TargetSkew = 1.15;
/// A smaller gain is not worth the slower steps during the copy.
constexpr double LeastImprovement = 0.08;
/// Demand shifts every few seconds, and a plan pays off within this time or not at all.
constexpr std::chrono::seconds DemandHorizon{6};
/// Steps take 15% longer while experts are copied, as the engines' page states.
constexpr double LoadSlowdown = 0.15;
/// Agents report every 40 ms during a change. One that misses five reports is stood in for.
constexpr milliseconds SilentTime{250};
/// An agent that was not heard for this long is not the owner.
constexpr milliseconds LiveTime{1500};

const char *nameOf(EngineOrder::Kind kind)
{
    switch (kind) {
    case EngineOrder::Kind::Prepare:
        return "prepare";
    case EngineOrder::Kind::Hold:
        return "hold";
    case EngineOrder::Kind::Arm:
        return "arm";
    case EngineOrder::Kind::Release:
        return "release";
    }
    return "";
}

} // namespace

RankAgent::RankAgent(EventLoop &loop, const Options &options, const EngineProtocol &protocol,
                     const StateDecoder &decoder, StateStore &store)
    : loop(loop), options(options), protocol(protocol), decoder(decoder), store(store),
      metricsListener(loop, options.metricsAddress, MetricsConnections,
                      [this](const HttpListener::Request &request) {
                          if (auto *connection = this->metricsListener.find(request.id))
                              connection->reply(200, {},
                                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                                this->metrics.text());
                      }),
      peers(loop, options.ip + ":" + std::to_string(options.peerPort),
            [this](std::string_view bytes) { this->takeDatagram(bytes); }),
      engine(loop, options.engineAddress)
{
    this->state.engineAddress = options.engineAddress;
    this->state.address = options.ip + ":" + std::to_string(options.peerPort);
    this->state.incarnation = options.incarnation;
    this->rankSwitch = std::make_unique<RankSwitch>();
    this->ticker = loop.every(TickPeriod, [this] { this->tick(); });
    this->terminateSignal = loop.onSignal(SIGTERM, [this] {
        if (this->stopAt == NoDeadline)
            this->stopAt = this->loop.now() + StopLimit;
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
    return this->peers.isOpen() ? "" : "cannot open UDP " + this->state.address;
}

void RankAgent::noteReload(const std::string &what)
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
    EventLog::writeBounded(this->loop.now(), {number, LogRecord::Level::Info, text});
}

std::uint32_t RankAgent::rank() const
{
    return this->rankSwitch->engine() ? this->rankSwitch->engine()->rank : 0;
}

void RankAgent::readEngineProfile()
{
    this->store.readConfiguration([this](const StateStore::Result &result) {
        for (const StoreChange &change : result.changes) {
            const auto meaning = this->decoder.decode(change);
            const auto *configuration = std::get_if<ConfigurationPtr>(&meaning);
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
            settings.planner.leastImprovement = LeastImprovement;
            settings.planner.horizon = DemandHorizon;
            settings.planner.loadSlowdown = LoadSlowdown;
            settings.planner.expertBytes = experts.bytes;
            settings.planner.storeRate = experts.copyRate;
            settings.planner.loadsPerRank = experts.loadsPerChange;
            settings.planner.chains = false;
            this->owner = std::make_unique<SwitchOwner>(settings);
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
            const auto meaning = this->decoder.decode(change);
            const auto *record = std::get_if<BackendRecord>(&meaning);
            if (record == nullptr || record->service != this->options.service)
                continue;
            const std::string ip = record->address.substr(0, record->address.find(':'));
            if (ip != this->options.ip)
                found.insert(ip + ":" + std::to_string(this->options.peerPort));
        }
        // Rows lapse while the store is away; agents that were known are asked on.
        if (found.size() >= this->peerAddresses.size())
            this->peerAddresses = std::move(found);
        else
            this->peerAddresses.insert(found.begin(), found.end());
    });
}

void RankAgent::tick()
{
    const Instant now = this->loop.now();
    if (now >= this->nextPeersAt) {
        this->nextPeersAt = now + PeersPeriod;
        this->readPeers();
    }
    if (this->owner == nullptr && now >= this->nextProfileAt) {
        this->nextProfileAt = now + ProfilePeriod;
        this->readEngineProfile();
    }
    // One call to the engine at a time, the most urgent first.
    this->giveOrder();
    if (!this->engine.isBusy() && now >= this->nextReportAt)
        this->readReport();
    if (!this->engine.isBusy() && now >= this->nextCountsAt)
        this->readCounts();
    if (!this->engine.isBusy() && !this->expertsKnown && this->engineReachable)
        this->readExperts();
    this->standInForSilentRanks();
    this->driveOwner();
    if (now >= this->nextStateAt)
        this->sendState();
    this->metricsListener.tick(now);
    if (this->stopAt != NoDeadline && (!this->rankSwitch->isSwitching() || now >= this->stopAt))
        this->loop.stop();
}

void RankAgent::readReport()
{
    this->nextReportAt =
            this->loop.now() + (this->rankSwitch->isBusy() ? BusyReportPeriod : ReportPeriod);
    this->engine.ask(
            this->protocol.reportRequest(), EngineAnswerLimit,
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
                const auto &before = this->rankSwitch->engine();
                if (!before || before->epoch != report->epoch
                    || before->mapVersion != report->mapVersion || before->rank != report->rank) {
                    this->expertsKnown = false;
                    this->log(RelayLog::MapInUse,
                              "group=" + report->group + " epoch=" + std::to_string(report->epoch)
                                      + " rank=" + std::to_string(report->rank)
                                      + " open=" + std::to_string(report->isOpen)
                                      + " version=" + std::to_string(report->mapVersion)
                                      + " step=" + std::to_string(report->step));
                }
                this->rankSwitch->engineReported(*report);
                this->giveOrder();
            });
}

void RankAgent::readCounts()
{
    this->nextCountsAt = this->loop.now() + CountsPeriod;
    this->engine.ask(this->protocol.countsRequest(), EngineAnswerLimit,
                     [this](int status, const std::string &body) {
                         auto counts =
                                 status == 200 ? this->protocol.readCounts(body) : std::nullopt;
                         if (counts)
                             this->state.counts = std::move(*counts);
                     });
}

void RankAgent::readExperts()
{
    this->engine.ask(this->protocol.expertsRequest(), EngineAnswerLimit,
                     [this](int status, const std::string &body) {
                         auto experts =
                                 status == 200 ? this->protocol.readExperts(body) : std::nullopt;
                         if (!experts)
                             return;
                         this->state.experts = std::move(*experts);
                         this->expertsKnown = true;
                     });
}

void RankAgent::giveOrder()
{
    if (this->engine.isBusy())
        return;
    const auto order = this->rankSwitch->nextOrder(this->loop.now());
    if (!order)
        return;
    this->engine.ask(this->protocol.orderRequest(*order), OrderAnswerLimit,
                     [this, order](int status, const std::string &) {
                         const OrderAnswer answer = this->protocol.readOrderAnswer(status);
                         this->logOrder(*order, this->rank(), status);
                         this->rankSwitch->answered(this->loop.now(), *order, answer);
                         this->nextReportAt = this->loop.now();
                         this->nextStateAt = this->loop.now();
                     });
}

void RankAgent::logOrder(const EngineOrder &order, std::uint32_t rank, int status)
{
    this->log(RelayLog::EngineOrdered,
              std::string("kind=") + nameOf(order.kind) + " rank=" + std::to_string(rank)
                      + " version=" + std::to_string(order.change.version) + " step="
                      + std::to_string(order.change.step) + " epoch=" + std::to_string(order.epoch)
                      + " status=" + std::to_string(status));
}

std::uint32_t RankAgent::lowestLiveRank() const
{
    for (const auto &[rank, known] : this->others) {
        if (rank < this->rank() && this->loop.now() < known.second + LiveTime)
            return rank;
    }
    return this->rank();
}

void RankAgent::standInForSilentRanks()
{
    if (!this->rankSwitch->isSwitching()) {
        this->standIns.clear();
        return;
    }
    const Instant now = this->loop.now();
    for (const auto &[rank, known] : this->others) {
        if (now < known.second + SilentTime || known.first.engineAddress.empty()) {
            this->standIns.erase(rank);
            continue;
        }
        // One agent is enough; the others take over when it falls silent as well.
        const bool isFirst =
                std::none_of(this->others.begin(), this->others.end(), [&](const auto &other) {
                    return other.first < this->rank() && now < other.second.second + SilentTime;
                });
        if (!isFirst)
            continue;
        StandIn &standIn = this->standIns[rank];
        if (standIn.engine == nullptr) {
            standIn.engine = std::make_unique<EngineLink>(this->loop, known.first.engineAddress);
            this->log(RelayLog::OwnerDecided,
                      "stands in for rank=" + std::to_string(rank) + " silent_ms="
                              + std::to_string(
                                      std::chrono::duration_cast<milliseconds>(now - known.second)
                                              .count()));
        }
        this->workFor(rank, standIn);
    }
}

void RankAgent::workFor(std::uint32_t rank, StandIn &standIn)
{
    const Instant now = this->loop.now();
    if (standIn.engine->isBusy())
        return;
    for (const auto &[number, known] : this->others) {
        if (number != rank)
            standIn.rankSwitch.peerReported(known.first);
    }
    RankState own;
    this->rankSwitch->describe(own);
    standIn.rankSwitch.peerReported(own);
    if (const auto order = standIn.rankSwitch.nextOrder(now)) {
        standIn.engine->ask(this->protocol.orderRequest(*order), OrderAnswerLimit,
                            [this, rank, order](int status, const std::string &) {
                                this->logOrder(*order, rank, status);
                                const auto found = this->standIns.find(rank);
                                if (found == this->standIns.end())
                                    return;
                                found->second.rankSwitch.answered(
                                        this->loop.now(), *order,
                                        this->protocol.readOrderAnswer(status));
                                found->second.nextReportAt = this->loop.now();
                            });
        return;
    }
    if (now < standIn.nextReportAt)
        return;
    standIn.nextReportAt = now + BusyReportPeriod;
    standIn.engine->ask(this->protocol.reportRequest(), EngineAnswerLimit,
                        [this, rank](int status, const std::string &body) {
                            const auto found = this->standIns.find(rank);
                            const auto report =
                                    status == 200 ? this->protocol.readReport(body) : std::nullopt;
                            if (found == this->standIns.end() || !report || report->rank != rank)
                                return;
                            found->second.rankSwitch.engineReported(*report);
                            // The others learn from this agent that the silent rank is armed.
                            RankState seen = this->others[rank].first;
                            seen.engine = *report;
                            seen.isToldByOther = true;
                            this->others[rank].first = seen;
                            this->rankSwitch->peerReported(seen);
                            this->sendToPeers(encodeRankState(seen));
                        });
}

void RankAgent::sendState()
{
    const Instant now = this->loop.now();
    this->nextStateAt = now + (this->rankSwitch->isBusy() ? BusyStatePeriod : StatePeriod);
    if (!this->rankSwitch->engine())
        return;
    this->rankSwitch->describe(this->state);
    ++this->state.sequence;
    RankState sent = this->state;
    if (!this->expertsKnown)
        sent.experts.clear();
    if (this->owner != nullptr)
        this->owner->report(now, sent);
    const std::uint32_t ownerRank = this->lowestLiveRank();
    if (const auto found = this->others.find(ownerRank); found != this->others.end())
        this->peers.send(found->second.first.address, encodeRankState(sent));
    // Only the owner plans; the others need neither experts nor counts.
    sent.experts.clear();
    sent.counts.clear();
    const std::string brief = encodeRankState(sent);
    for (const std::string &address : this->peerAddresses) {
        const auto found = this->others.find(ownerRank);
        if (found == this->others.end() || found->second.first.address != address)
            this->peers.send(address, brief);
    }
}

void RankAgent::driveOwner()
{
    const Instant now = this->loop.now();
    if (this->owner == nullptr || !this->rankSwitch->engine() || this->stopAt != NoDeadline)
        return;
    const auto command = this->owner->tick(now, this->rank());
    if (const std::string note = this->owner->takeNote(); !note.empty())
        this->log(RelayLog::OwnerDecided, note);
    if (!command)
        return;
    const bool isNew = !this->lastCommand || this->lastCommand->phase != command->phase
                       || this->lastCommand->change != command->change
                       || this->lastCommand->ballot != command->ballot;
    if (!isNew && now < this->nextCommandAt)
        return;
    this->nextCommandAt = now + CommandPeriod;
    this->lastCommand = command;
    this->rankSwitch->commanded(*command);
    this->nextStateAt = now;
    this->sendToPeers(encodeOwnerCommand(*command));
}

void RankAgent::takeDatagram(std::string_view bytes)
{
    if (const auto state = decodeRankState(bytes)) {
        const std::uint32_t from = state->engine.rank;
        if (from == this->rank()) {
            // Told by an agent that stands in for this one, or by the former agent of the rank.
            return;
        }
        auto &[known, heardAt] = this->others[from];
        // A start with an earlier time of day than the one before is taken after a pause: the clock
        // may have jumped back between the two.
        const bool isOtherStart = state->incarnation != known.incarnation;
        const bool isNewer = isOtherStart ? state->incarnation > known.incarnation
                                                    || (!state->isToldByOther
                                                        && this->loop.now() > heardAt + StartPause)
                                          : state->sequence > known.sequence;
        if (isNewer) {
            known = *state;
            if (!state->isToldByOther)
                heardAt = this->loop.now();
        }
        this->rankSwitch->peerReported(*state);
        // At once, not with the next tick: the shorter a step is held, the less depends on agents
        // that may pause meanwhile.
        this->giveOrder();
        if (this->owner != nullptr && !state->isToldByOther)
            this->owner->report(this->loop.now(), *state);
        return;
    }
    if (const auto command = decodeOwnerCommand(bytes)) {
        this->rankSwitch->commanded(*command);
        this->nextStateAt = this->loop.now();
        this->giveOrder();
        return;
    }
    this->metrics.add("nutmegrill_reports_unreadable_total", {});
}

void RankAgent::sendToPeers(const std::string &bytes)
{
    for (const std::string &address : this->peerAddresses)
        this->peers.send(address, bytes);
}

} // namespace Nutmegrill
