#include "Agent/AgentNode.h"

#include "Agent/AgentLog.h"
#include "Agent/AgentState.h"
#include "Agent/AnswerFlow.h"
#include "Agent/BackendWatch.h"
#include "Agent/ClaimKeeper.h"
#include "Agent/DrainState.h"
#include "Agent/PeerControl.h"
#include "Agent/StreamFlow.h"
#include "Agent/WorkAdmission.h"
#include "Membership/StateDump.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

class AgentNode::State : public AgentState
{
public:
    explicit State(AgentSettings settings) : AgentState(std::move(settings)) {}

    void on(const AgentTurn &turn, const AgentEvent::ConfigurationRead &event)
    {
        this->peers.accept(turn, event);
    }
    void on(const AgentTurn &, const AgentEvent::LinkOpened &event) { this->peers.open(event); }
    void on(const AgentTurn &turn, const AgentEvent::LinkClosed &event)
    {
        this->peers.close(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::PeerReceived &event)
    {
        this->peers.receive(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::WorkArrived &event)
    {
        this->peers.requestNewerConfiguration(turn, event.link, event.request.configurationVersion);
        this->admission.handleArrival(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::WorkCancelled &event)
    {
        this->admission.cancel(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::WorkDetached &event)
    {
        if (RequestRow *row = this->findRequestOfWork(event.work); row != nullptr)
            this->answers.detach(turn, *row);
    }
    void on(const AgentTurn &, const AgentEvent::WorkBuffered &event)
    {
        this->flow.receiveBuffered(event);
    }
    void on(const AgentTurn &turn, const AgentEvent::BackendHead &event)
    {
        this->answers.receiveHead(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::BackendData &event)
    {
        this->answers.receiveData(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::BackendEnd &event)
    {
        this->answers.receiveEnd(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::BackendFailed &event)
    {
        this->watch.receiveFailure(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::BackendReport &event)
    {
        this->watch.receiveReport(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::BackendLeaving &)
    {
        this->drain.beginDrain(turn);
    }
    void on(const AgentTurn &turn, const AgentEvent::ClaimsAnswered &event)
    {
        this->keeper.receiveAnswer(turn, event);
    }
    void on(const AgentTurn &turn, const AgentEvent::StopRequested &)
    {
        this->drain.beginDrain(turn);
    }

    void runSystems(const AgentTurn &turn);

private:
    using System = void (State::*)(const AgentTurn &);

    void expireCrashes(const AgentTurn &turn) { this->watch.expire(turn); }
    void detectCrash(const AgentTurn &turn) { this->watch.detectCrash(turn); }
    void checkClaims(const AgentTurn &turn) { this->keeper.checkDeadlines(turn); }
    void startSuspects(const AgentTurn &turn) { this->admission.startSuspects(turn); }
    void releaseAnswers(const AgentTurn &turn) { this->answers.releaseAnswers(turn); }
    void dropTails(const AgentTurn &turn) { this->answers.dropTails(turn); }
    void pauseSlowStreams(const AgentTurn &turn) { this->flow.pauseSlowStreams(turn); }
    void widenLimit(const AgentTurn &turn) { this->backend.warmup.tick(turn.now); }
    void writeClaims(const AgentTurn &turn) { this->keeper.writeClaims(turn); }
    void grantCredits(const AgentTurn &turn) { this->peers.grantCredits(turn); }
    void sendStatus(const AgentTurn &turn) { this->peers.sendStatus(turn); }
    void offerConfiguration(const AgentTurn &turn) { this->peers.offerConfiguration(turn); }
    void stopWhenDrained(const AgentTurn &turn) { this->drain.stopWhenDrained(turn); }

    AnswerFlow answers{*this};
    BackendWatch watch{*this};
    ClaimKeeper keeper{*this, answers};
    StreamFlow flow{*this};
    DrainState drain{*this};
    WorkAdmission admission{*this, answers, keeper};
    PeerControl peers{*this, answers, watch};
};

// Systems that end or reject requests run before those that start requests and grant credits, so
// that freed slots are reused within the same tick.
void AgentNode::State::runSystems(const AgentTurn &turn)
{
    static constexpr std::array<System, 13> Systems = {
            &State::expireCrashes,   &State::detectCrash, &State::checkClaims,
            &State::releaseAnswers,  &State::dropTails,   &State::widenLimit,
            &State::startSuspects,   &State::writeClaims, &State::pauseSlowStreams,
            &State::grantCredits,    &State::sendStatus,  &State::offerConfiguration,
            &State::stopWhenDrained,
    };
    for (System system : Systems)
        (this->*system)(turn);
}

AgentNode::AgentNode(AgentSettings settings) : state(std::make_unique<State>(std::move(settings)))
{}

AgentNode::~AgentNode() = default;

void AgentNode::handle(Instant now, const AgentEvent::Any &event, AgentCommand::List &commands)
{
    const AgentTurn turn{now, commands};
    std::visit([this, &turn](const auto &body) { this->state->on(turn, body); }, event);
}

void AgentNode::tick(Instant now, AgentCommand::List &commands)
{
    this->state->runSystems(AgentTurn{now, commands});
}

ConfigurationPtr AgentNode::configuration() const
{
    return this->state->spread.current();
}

std::string AgentNode::dump(Instant now) const
{
    static constexpr std::array StatusNames = {"down", "cold", "warm", "leaving", "out"};
    static constexpr std::array PhaseNames = {"alone", "claiming", "running", "ended"};
    using Json = nlohmann::ordered_json;
    const State &state = *this->state;
    Json document = {{"agent", state.settings.name},
                     {"service", state.settings.service},
                     {"failure_domain", state.settings.failureDomain},
                     {"configuration_version", state.spread.version()},
                     {"pending_take_outs", StateDump<Json>::pendingTakeOuts(state.spread)},
                     {"state", StatusNames[static_cast<std::size_t>(state.status())]},
                     {"limit", state.limit()},
                     {"running", state.running()},
                     {"credits", state.credits.outstanding(now)},
                     {"suspects", state.suspects},
                     {"open_claims", state.claims.size()},
                     {"links", Json::array()},
                     {"requests", Json::array()},
                     {"recent", StateDump<Json>::recent(state.recent)}};
    for (const auto &[link, row] : state.links)
        document["links"].push_back({{"link", link}, {"process", row.process}});
    for (const auto &[id, row] : state.requests) {
        document["requests"].push_back({{"request_id", id},
                                        {"account", row.request.account},
                                        {"service", row.request.service},
                                        {"phase", PhaseNames[static_cast<std::size_t>(row.phase)]},
                                        {"next_event", row.tail.nextEvent()},
                                        {"tail_bytes", row.tail.bytes()},
                                        {"paused", row.paused}});
    }
    return document.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace Nutmegrill
