#include "Entry/EntryNode.h"

#include "Entry/AdmissionSystem.h"
#include "Entry/AnswerSystem.h"
#include "Entry/CallerSystem.h"
#include "Entry/ConfigurationSystem.h"
#include "Entry/EntryDump.h"
#include "Entry/EntryLog.h"
#include "Entry/EntryTables.h"
#include "Entry/LinkSystem.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Nutmegrill {

class EntryNode::State
{
public:
    explicit State(EntrySettings settings)
        : tables(std::move(settings)), configurations(tables), links(tables), admission(tables),
          answers(tables, admission), callers(tables, admission)
    {}

    void runSystems();

    void on(const EntryEvent::ConfigurationRead &event) { this->configurations.read(event); }
    void on(const EntryEvent::StoreUnreachable &) { this->configurations.storeUnreachable(); }
    void on(const EntryEvent::InstancesRead &event) { this->links.updateInstances(event); }
    void on(const EntryEvent::LinkOpened &event) { this->links.linkOpened(event.agent); }
    void on(const EntryEvent::LinkClosed &event)
    {
        this->links.linkClosed(event.agent);
        this->answers.linkClosed(event.agent);
    }
    void on(const EntryEvent::PeerReceived &event)
    {
        this->links.receive(event.agent, event.message);
        this->configurations.checkReady();
    }
    void on(const EntryEvent::CallerRequest &event)
    {
        this->admission.accept(event, this->configurations.isReady());
    }
    void on(const EntryEvent::CallerBuffered &event) { this->callers.updateBuffered(event); }
    void on(const EntryEvent::CallerDisconnected &event)
    {
        this->callers.callerDisconnected(event.caller);
    }
    void on(const EntryEvent::WorkReceived &event) { this->answers.receive(event); }
    void on(const EntryEvent::WorkClosed &event)
    {
        this->answers.workClosed(event.work, event.run);
    }
    void on(const EntryEvent::TakeOutRequested &event) { this->configurations.takeOut(event); }
    void on(const EntryEvent::StopRequested &);

    EntryTables tables;
    ConfigurationSystem configurations;
    LinkSystem links;
    AdmissionSystem admission;
    AnswerSystem answers;
    CallerSystem callers;

private:
    using System = void (State::*)();

    void readStore() { this->configurations.readStore(); }
    void updateLinks() { this->links.updateLinks(); }
    void tickDistribution() { this->configurations.tickDistribution(); }
    void checkReady() { this->configurations.checkReady(); }
    void storeTakeOuts() { this->configurations.storeTakeOuts(); }
    void resumeBroken() { this->answers.resumeBroken(); }
    void checkQueued() { this->admission.checkQueued(); }
    void startQueued() { this->admission.startQueued(); }
    void expireRunning() { this->answers.expireRunning(); }
    void limitBuffers() { this->callers.limitBuffers(); }
    void sendAcks() { this->callers.sendAcks(); }
    void cancelDetached() { this->callers.cancelDetached(); }
    void sendDemand() { this->links.sendDemand(); }
    void finishStop();

    // Resumes and expiries come before starts, so that requeued requests and freed credits are used
    // in the same tick.
    static constexpr System Systems[] = {
            &State::readStore,     &State::updateLinks,   &State::tickDistribution,
            &State::checkReady,    &State::storeTakeOuts, &State::resumeBroken,
            &State::expireRunning, &State::checkQueued,   &State::startQueued,
            &State::limitBuffers,  &State::sendAcks,      &State::cancelDetached,
            &State::sendDemand,    &State::finishStop};
};

void EntryNode::State::runSystems()
{
    for (const System system : Systems)
        (this->*system)();
}

void EntryNode::State::on(const EntryEvent::StopRequested &)
{
    if (this->tables.stopping)
        return;
    this->tables.stopping = true;
    this->tables.stopNotBefore = this->tables.now + this->tables.settings.addressLifetime;
    this->tables.addressSelector.excludeLeaving(this->tables.settings.name);
    this->tables.log(EntryLog::StopBegins, LogRecord::Level::Info, "planned stop begins");
}

void EntryNode::State::finishStop()
{
    if (!this->tables.stopping || this->tables.stopped)
        return;
    const Instant stalled = this->tables.now - this->tables.settings.stallLimit;
    const bool busy =
            std::any_of(this->tables.requests.all().begin(), this->tables.requests.all().end(),
                        [&](const auto &row) {
                            return row.second.phase != RequestTable::Phase::Done
                                   || this->tables.buffers.isBeingRead(row.first, stalled);
                        });
    const bool wait = busy || this->tables.now < this->tables.stopNotBefore;
    if (wait && this->tables.settings.switches.gracefulStop)
        return;
    this->tables.stopped = true;
    this->tables.log(EntryLog::StreamsEnded, LogRecord::Level::Info, "all streams have ended");
    this->tables.addCommand(EntryCommand::Stop{});
}

EntryNode::EntryNode(EntrySettings settings) : state(std::make_unique<State>(std::move(settings)))
{}

EntryNode::~EntryNode() = default;

void EntryNode::handle(Instant now, const EntryEvent::Any &event, EntryCommand::List &commands)
{
    this->state->tables.now = now;
    this->state->tables.commands = &commands;
    std::visit([this](const auto &alternative) { this->state->on(alternative); }, event);
}

void EntryNode::tick(Instant now, EntryCommand::List &commands)
{
    this->state->tables.now = now;
    this->state->tables.commands = &commands;
    this->state->runSystems();
}

bool EntryNode::isReady() const
{
    return this->state->configurations.isReady();
}

ConfigurationPtr EntryNode::configuration() const
{
    return this->state->tables.spread.current();
}

std::vector<EntryNode::Address> EntryNode::entriesFor(const std::string &callerKey) const
{
    const ConfigurationSpread &spread = this->state->tables.spread;
    return this->state->tables.addressSelector.entriesFor(
            callerKey, [&spread](const std::string &domain) { return spread.isOut(domain); });
}

std::chrono::seconds EntryNode::addressLifetime() const
{
    return this->state->tables.settings.addressLifetime;
}

std::string EntryNode::dump(Instant now) const
{
    return dumpEntry(now, this->state->tables, this->state->configurations.isReady(),
                     this->state->configurations.isRelay());
}

} // namespace Nutmegrill
