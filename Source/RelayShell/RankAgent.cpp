#include "RelayShell/RankAgent.h"

#include "Net/EventLog.h"
#include "Relay/RelayLog.h"
#include "RelayShell/PeerCodec.h"

#include <csignal>
#include <utility>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{20};
/// The engine's report is free on its own machine; the shorter period holds during a change.
constexpr milliseconds ReportPeriod{250};
constexpr milliseconds BusyReportPeriod{40};
constexpr milliseconds CountsPeriod{500};
constexpr milliseconds StatePeriod{250};
constexpr milliseconds BusyStatePeriod{40};
constexpr milliseconds CommandPeriod{60};
/// Agents come and go with instances; stale reads of the list are cheap.
constexpr milliseconds PeersPeriod{4000};
constexpr milliseconds ProfilePeriod{1000};
constexpr milliseconds EngineConnectLimit{300};
constexpr milliseconds EngineAnswerLimit{300};
/// An order without an answer within this time is given again; the engine answers orders within a
/// few milliseconds.
constexpr milliseconds OrderAnswerLimit{80};
/// A change in hand is carried through before a planned stop, which takes some tenths of a second.
constexpr milliseconds StopLimit{3000};
constexpr std::size_t MetricsConnections = 16;

} // namespace

RankAgent::RankAgent(EventLoop &loop, const Options &options, const EngineProtocol &protocol,
                     const StateDecoder &decoder, StateStore &store)
    : loop(loop), options(options), protocol(protocol), decoder(decoder), store(store),
      metricsListener(loop, options.metricsAddress, MetricsConnections,
                      [this](auto &&request) {
                          if (auto *connection = this->metricsListener.find(request.id))
                              connection->reply(200, {},
                                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                                this->metrics.text());
                      }),
      peers(loop, options.ip + ":" + std::to_string(options.peerPort),
            [this](std::string_view bytes) { this->takeDatagram(bytes); })
{
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
    this->hangupSignal =
            loop.onSignal(SIGHUP, [this] { this->log(RelayLog::Reloaded, "changed=none"); });
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

void RankAgent::run()
{
    this->loop.run();
    this->log(RelayLog::Stopped, "switching=" + std::to_string(this->rankSwitch->isSwitching()));
}

void RankAgent::log(std::uint32_t number, const std::string &text)
{
    EventLog::write({number, LogRecord::Level::Info, text});
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
            settings.planner.startSkew = 1.15;
            settings.planner.startAfter = std::chrono::seconds(0);
            settings.planner.targetSkew = 1.05;
            settings.planner.leastImprovement = 0.08;
            settings.planner.horizon = std::chrono::seconds(6);
            settings.planner.loadSlowdown = 0.15;
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

void RankAgent::askEngine(const EngineProtocol::Request &request, milliseconds limit,
                          Answered answered)
{
    if (this->engine == nullptr || !this->engine->isReusable())
        this->engine = std::make_shared<ClientConnection>(this->loop, this->options.engineAddress,
                                                          EngineConnectLimit);
    const auto used = this->engine;
    const auto status = std::make_shared<int>(0);
    const auto body = std::make_shared<std::string>();
    const auto pending = std::make_shared<Answered>(std::move(answered));
    const auto finish = [this, pending, status, body](bool whole) {
        if (!*pending)
            return;
        --this->callsOpen;
        const Answered done = std::exchange(*pending, nullptr);
        done(whole ? *status : 0, *body);
    };
    ++this->callsOpen;
    ClientConnection::Handlers handlers;
    handlers.onHead = [status](const HttpHead &head) {
        *status = head.status;
        return true;
    };
    handlers.onData = [body](std::string_view data) { body->append(data); };
    handlers.onEnd = [finish] { finish(true); };
    handlers.onFailure = [finish](ClientConnection::Failure) { finish(false); };
    this->loop.after(limit, [used, pending, finish] {
        if (!*pending)
            return;
        used->close();
        finish(false);
    });
    std::string text = request.method + " " + request.target
                       + " HTTP/1.1\r\nHost: " + this->options.engineAddress + "\r\n";
    if (!request.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(request.body.size()) + "\r\n";
    used->send(text + "\r\n" + request.body, std::move(handlers));
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
    if (this->callsOpen == 0)
        this->giveOrder();
    if (this->callsOpen == 0 && now >= this->nextReportAt)
        this->readReport();
    if (this->callsOpen == 0 && now >= this->nextCountsAt)
        this->readCounts();
    if (this->callsOpen == 0 && !this->expertsKnown && this->engineReachable)
        this->readExperts();
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
    this->askEngine(
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
            });
}

void RankAgent::readCounts()
{
    this->nextCountsAt = this->loop.now() + CountsPeriod;
    this->askEngine(this->protocol.countsRequest(), EngineAnswerLimit,
                    [this](int status, const std::string &body) {
                        auto counts =
                                status == 200 ? this->protocol.readCounts(body) : std::nullopt;
                        if (counts)
                            this->state.counts = std::move(*counts);
                    });
}

void RankAgent::readExperts()
{
    this->askEngine(this->protocol.expertsRequest(), EngineAnswerLimit,
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
    const auto order = this->rankSwitch->nextOrder(this->loop.now());
    if (!order)
        return;
    this->askEngine(this->protocol.orderRequest(*order), OrderAnswerLimit,
                    [this, order](int status, const std::string &) {
                        const OrderAnswer answer = this->protocol.readOrderAnswer(status);
                        this->log(RelayLog::EngineOrdered,
                                  "kind=" + std::to_string(static_cast<int>(order->kind))
                                          + " version=" + std::to_string(order->change.version)
                                          + " step=" + std::to_string(order->change.step)
                                          + " epoch=" + std::to_string(order->epoch)
                                          + " status=" + std::to_string(status));
                        this->rankSwitch->answered(this->loop.now(), *order, answer);
                        this->nextReportAt = this->loop.now();
                        this->nextStateAt = this->loop.now();
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
    this->sendToPeers(encodeRankState(sent));
}

void RankAgent::driveOwner()
{
    const Instant now = this->loop.now();
    if (this->owner == nullptr || !this->rankSwitch->engine() || now < this->nextCommandAt
        || this->stopAt != NoDeadline)
        return;
    this->nextCommandAt = now + CommandPeriod;
    const auto command = this->owner->tick(now, this->rank());
    if (const std::string note = this->owner->takeNote(); !note.empty())
        this->log(RelayLog::OwnerDecided, note);
    if (!command)
        return;
    this->rankSwitch->commanded(*command);
    this->nextStateAt = now;
    this->sendToPeers(encodeOwnerCommand(*command));
}

void RankAgent::takeDatagram(std::string_view bytes)
{
    if (const auto state = decodeRankState(bytes)) {
        this->rankSwitch->peerReported(*state);
        if (this->owner != nullptr)
            this->owner->report(this->loop.now(), *state);
        return;
    }
    if (const auto command = decodeOwnerCommand(bytes)) {
        this->rankSwitch->commanded(*command);
        this->nextStateAt = this->loop.now();
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
