#include "Programs/GroupMember.h"

#include "Groups/GroupLog.h"
#include "Groups/LoadMessage.h"
#include "Messages/MessageCodec.h"
#include "Net/EventLog.h"
#include "Net/PeerSession.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

constexpr std::chrono::milliseconds TickPeriod(20);
constexpr std::chrono::milliseconds PollPeriod(50);
constexpr std::chrono::milliseconds EngineRetryDelay(20);
// Messages that wait for a slow engine. Further ones are dropped; the protocol repeats them.
constexpr std::size_t MaxInboxItems = 4096;

const ModelGroup *findGroup(const Configuration &configuration, const std::string &name)
{
    const auto found =
            std::find_if(configuration.modelGroups.begin(), configuration.modelGroups.end(),
                         [&name](const ModelGroup &row) { return row.name == name; });
    return found == configuration.modelGroups.end() ? nullptr : &*found;
}

// Experts that the rank holds in \a wanted and not in \a held.
std::vector<WeightLoader::Expert> newExperts(const ExpertMap &wanted, const ExpertMap &held,
                                             std::uint32_t rank)
{
    std::vector<WeightLoader::Expert> experts;
    for (std::size_t layer = 0; layer < wanted.slots.size(); ++layer) {
        if (rank >= wanted.slots[layer].size())
            continue;
        std::vector<std::uint32_t> known;
        if (layer < held.slots.size() && rank < held.slots[layer].size())
            known = held.slots[layer][rank];
        for (const std::uint32_t expert : wanted.slots[layer][rank]) {
            if (std::find(known.begin(), known.end(), expert) != known.end())
                continue;
            known.push_back(expert);
            experts.push_back({layer, expert});
        }
    }
    return experts;
}

} // namespace

GroupMember::GroupMember(EventLoop &loop, const Options &options)
    : loop(loop), options(options),
      links(loop, options.identity, [](const std::string &, const std::string &) {}),
      weights(loop, options.weightsAddress), timer(loop.every(TickPeriod, [this] { this->tick(); }))
{}

GroupMember::~GroupMember() = default;

void GroupMember::update(const ConfigurationPtr &configuration)
{
    if (configuration == nullptr || configuration == this->configuration)
        return;
    this->configuration = configuration;
    this->startMember();
}

void GroupMember::update(const std::vector<InstanceRecord> &instances)
{
    this->instances = instances;
    this->startMember();
}

void GroupMember::startMember()
{
    const ModelGroup *declared =
            this->configuration == nullptr
                    ? nullptr
                    : findGroup(*this->configuration, this->options.identity.group);
    if (declared == nullptr)
        return;
    // The number of ranks is fixed while the member runs; another size needs a new group.
    if (!this->group.has_value())
        this->group = *declared;
    if (!this->roster.update(*this->group, this->instances))
        return;
    const auto own = this->roster.rankOf(this->options.identity.process);
    auto others = this->roster.addresses();
    others.erase(this->options.identity.process);
    this->links.setTargets(std::move(others));
    if (this->member != nullptr || !own.has_value())
        return;
    this->rank = *own;
    this->engine = std::make_unique<RankEngine>(this->loop, this->options.engineAddress, *own);
    this->member =
            std::make_unique<MapChangeMember>(*own, this->group->ranks, this->options.incarnation);
    this->log(GroupLog::GroupRosterComplete, false,
              "rank " + std::to_string(*own) + " of " + std::to_string(this->group->ranks)
                      + " in group " + this->group->name);
    this->isProcessing = true;
    this->holdEngineAtStart();
}

// An earlier incarnation of this agent may have left the engine running on a vote that the other
// ranks treat as withdrawn, so the engine is held before this incarnation sends any message. An
// existing hold is kept: it is at the step of an armed change, which the engine must not pass.
void GroupMember::holdEngineAtStart()
{
    this->readEngine([this] {
        const auto held = [this] {
            this->isStarted = true;
            this->log(GroupLog::EngineHeldAtStart, false,
                      "engine held at step " + std::to_string(this->engineState.holdAt));
            this->finishItem();
        };
        if (this->engineState.holdAt != 0) {
            held();
            return;
        }
        const std::uint64_t step = std::max<std::uint64_t>(this->engineState.step, 1);
        this->engine->hold(step, this->engineState.fence, [this, step, held](bool accepted) {
            if (!accepted) {
                this->holdEngineAtStart();
                return;
            }
            this->engineState.holdAt = step;
            held();
        });
    });
}

void GroupMember::tick()
{
    if (!this->isStarted)
        return;
    MapChangeCommand::List commands;
    // A tick only sends queries; it changes no state that the engine depends on.
    this->member->tick(this->loop.now(), commands);
    this->execute(commands);
    if (this->loop.now() < this->nextPollAt || std::exchange(this->isPollQueued, true))
        return;
    this->enqueue(Poll{});
}

void GroupMember::enqueue(InboxItem item)
{
    if (!this->isStarted || this->inbox.size() >= MaxInboxItems)
        return;
    this->inbox.push_back(std::move(item));
    this->processNext();
}

void GroupMember::processNext()
{
    if (this->isProcessing || this->inbox.empty())
        return;
    this->isProcessing = true;
    const InboxItem item = std::move(this->inbox.front());
    this->inbox.pop_front();
    this->prepare(item, [this, item] {
        this->apply(item);
        this->synchronize([this] { this->finishItem(); });
    });
}

void GroupMember::finishItem()
{
    this->isProcessing = false;
    // Called from the event loop, so that a long inbox causes no deep recursion.
    this->loop.after(std::chrono::milliseconds(0), [this] { this->processNext(); });
}

// Holds or reads the engine where this must happen before the member handles \a item.
void GroupMember::prepare(const InboxItem &item, const Callback &next)
{
    const auto *received = std::get_if<Received>(&item);
    const bool isArm =
            received != nullptr && std::holds_alternative<MapMessage::Arm>(received->message);
    if (isArm && this->wouldArm(*received)) {
        const auto &arm = std::get<MapMessage::Arm>(received->message);
        this->engine->hold(arm.step, arm.change.fence, [this, arm, next](bool accepted) {
            if (accepted) {
                this->armedStep = arm.step;
                this->engineState.holdAt = arm.step;
                next();
                return;
            }
            // The engine has passed the step or did not answer. The member refuses a step that was
            // passed; without an answer the message is dropped, and the owner repeats it.
            this->log(GroupLog::EngineCommandRefused, true,
                      "the engine does not hold step " + std::to_string(arm.step));
            this->readEngine([this, arm, next] {
                if (this->engineState.step > arm.step)
                    next();
                else
                    this->synchronize([this] { this->finishItem(); });
            });
        });
        return;
    }
    // The answers to these messages contain the step of the engine.
    const bool needsStep = received == nullptr
                           || std::holds_alternative<MapMessage::MapWanted>(received->message)
                           || std::holds_alternative<MapMessage::Stage>(received->message);
    if (needsStep)
        this->readEngine(next);
    else
        next();
}

void GroupMember::apply(const InboxItem &item)
{
    MapChangeCommand::List commands;
    if (const auto *received = std::get_if<Received>(&item)) {
        this->member->handle(this->loop.now(), received->from, received->message, commands);
    } else if (const auto *staged = std::get_if<Staged>(&item)) {
        this->member->weightsStaged(staged->change, staged->loaded, commands);
    } else {
        this->isPollQueued = false;
        this->nextPollAt = this->loop.now() + PollPeriod;
    }
    this->execute(commands);
}

void GroupMember::readEngine(const Callback &next)
{
    this->engine->read([this, next](const std::optional<RankEngine::State> &state) {
        if (!state.has_value()) {
            this->loop.after(EngineRetryDelay, [this, next] { this->readEngine(next); });
            return;
        }
        this->engineState = *state;
        if (state->step > 0)
            this->member->mayRun(state->step - 1);
        next();
    });
}

// Returns whether the member would vote for the change. Evaluated on a copy, because the engine
// must be held before the vote, but not for a change that the member refuses.
bool GroupMember::wouldArm(const Received &item) const
{
    if (this->member->isArmed())
        return false;
    MapChangeMember copy = *this->member;
    MapChangeCommand::List commands;
    copy.handle(this->loop.now(), item.from, item.message, commands);
    return copy.isArmed();
}

MapMessage::MapInfo GroupMember::queryMapInfo() const
{
    MapChangeMember copy = *this->member;
    MapChangeCommand::List commands;
    copy.handle(this->loop.now(), this->group->ranks, MapMessage::MapWanted{}, commands);
    for (const MapChangeCommand::Any &command : commands) {
        const auto *send = std::get_if<MapChangeCommand::Send>(&command);
        if (send == nullptr)
            continue;
        if (const auto *info = std::get_if<MapMessage::MapInfo>(&send->message))
            return *info;
    }
    return {};
}

// The engine

void GroupMember::synchronize(const Callback &next)
{
    const MapChangeMember &own = *this->member;
    const bool hasMap = this->engineEpoch == own.map().epoch && this->engineState.epoch != 0;
    const std::uint64_t holdAt = own.isArmed() ? this->armedStep : 0;
    // A rank that is not a member stays held as it was at the start.
    if (!own.isMember() || (this->engineState.holdAt == holdAt && (own.isArmed() || hasMap))) {
        next();
    } else if (!own.isArmed()) {
        this->synchronizeMap(next);
    } else {
        // The engine was restarted while the agent ran, and has lost its map and its hold.
        this->engine->hold(holdAt, this->engineState.fence, [this, holdAt, next](bool accepted) {
            if (accepted)
                this->engineState.holdAt = holdAt;
            this->continueIfAccepted(accepted, "hold", next, next);
        });
    }
}

// The engine is held, or cannot run without a map, so its step does not change meanwhile.
void GroupMember::synchronizeMap(const Callback &next)
{
    this->readEngine([this, next] {
        if (this->engineEpoch == this->member->map().epoch && this->engineState.epoch != 0) {
            this->engine->hold(
                    0, this->engineFence(this->queryMapInfo()), [this, next](bool accepted) {
                        if (accepted)
                            this->engineState.holdAt = 0;
                        this->continueIfAccepted(accepted, "release", next,
                                                 [this, next] { this->retrySynchronize(next); });
                    });
            return;
        }
        this->sendMap(this->engineState, next);
    });
}

void GroupMember::sendMap(const RankEngine::State &state, const Callback &next)
{
    const MapMessage::MapInfo info = this->queryMapInfo();
    const std::uint64_t fence = this->engineFence(info);
    const Callback again = [this, next] { this->retrySynchronize(next); };
    if (state.epoch == 0 && info.mapStep > state.step) {
        // A restarted engine also needs the map of the steps before the change.
        this->engine->useMap(info.previousMap.epoch, state.step, fence,
                             [this, next, again](bool accepted) {
                                 this->continueIfAccepted(accepted, "previous map", again, again);
                             });
        return;
    }
    const std::uint64_t from = std::max(info.mapStep, state.step);
    this->engine->useMap(
            info.map.epoch, from, fence, [this, info, from, fence, next, again](bool accepted) {
                const Callback done = [this, info, from, again] {
                    this->engineEpoch = info.map.epoch;
                    this->engineFounding = info.founding;
                    this->log(GroupLog::MapInUse, false,
                              "map " + std::to_string(info.map.epoch) + " from step "
                                      + std::to_string(from));
                    // Releases the engine if it is still held.
                    again();
                };
                if (!accepted) {
                    this->continueIfAccepted(false, "map", again, again);
                } else if (this->engineEpoch != 0 && this->engineFounding == info.founding) {
                    done();
                } else {
                    // The agent has joined the group, which continues at the step that was agreed
                    // on in the join.
                    this->log(GroupLog::MapJoined, false,
                              "joined at step " + std::to_string(info.firstStep));
                    this->engine->skipTo(info.firstStep, fence, [this, done, again](bool skipped) {
                        this->continueIfAccepted(skipped, "skip", done, again);
                    });
                }
            });
}

void GroupMember::retrySynchronize(const Callback &next)
{
    this->loop.after(EngineRetryDelay, [this, next] { this->synchronize(next); });
}

void GroupMember::continueIfAccepted(bool accepted, const char *description, const Callback &next,
                                     const Callback &again)
{
    if (accepted) {
        next();
        return;
    }
    this->log(GroupLog::EngineCommandRefused, true,
              std::string("the engine did not accept the command: ") + description);
    again();
}

// The agent is the only client of its engine, and these commands carry final decisions of the
// group, so they use the highest known fencing token.
std::uint64_t GroupMember::engineFence(const MapMessage::MapInfo &info) const
{
    return std::max(
            {info.refusedUpTo.fence, info.mapChange.fence, info.founding, this->engineState.fence});
}

// Messages

void GroupMember::execute(const MapChangeCommand::List &commands)
{
    for (const MapChangeCommand::Any &command : commands)
        std::visit([this](const auto &body) { this->execute(body); }, command);
}

void GroupMember::execute(const MapChangeCommand::Send &command)
{
    const std::string document = encodeMapMessage(command.message);
    if (command.to < this->group->ranks) {
        this->links.send(this->roster.members()[command.to].name, document);
        return;
    }
    for (const auto &[key, row] : this->inboundStreams) {
        if (this->peerOf(row) == command.to)
            key.first->send(key.second, encodeMessage(PeerMessage::MapData{
                                                this->options.identity.group, document}));
    }
}

void GroupMember::execute(const MapChangeCommand::StageWeights &command)
{
    this->weights.load(newExperts(command.map, this->member->map(), this->rank),
                       this->group->expertBytes, [this, change = command.change](bool loaded) {
                           if (!loaded)
                               this->log(GroupLog::WeightsNotLoaded, true,
                                         "the weights of a map cannot be loaded");
                           this->enqueue(Staged{change, loaded});
                       });
}

// Needs no action: synchronize() compares the engine with the member after each item.
void GroupMember::execute(const MapChangeCommand::UseMap &) {}

void GroupMember::streamOpened(PeerSession &session, std::int32_t stream)
{
    this->inboundStreams[{&session, stream}] = InboundStream{{}, this->nextInboundNumber++};
}

bool GroupMember::streamMessage(PeerSession &session, std::int32_t stream,
                                const std::string &message)
{
    const auto found = this->inboundStreams.find({&session, stream});
    if (found == this->inboundStreams.end())
        return false;
    const auto decoded = decodePeerMessage(message);
    if (found->second.process.empty()) {
        const auto *hello =
                decoded.has_value() ? std::get_if<PeerMessage::Hello>(&*decoded) : nullptr;
        if (hello == nullptr || hello->deploymentKey != this->options.identity.deploymentKey
            || hello->process.empty()) {
            this->log(GroupLog::GroupLinkRefused, true,
                      "a group link sent no valid deployment key");
            this->inboundStreams.erase(found);
            session.reset(stream, true);
            return true;
        }
        found->second.process = hello->process;
        return true;
    }
    const auto *data = decoded.has_value() ? std::get_if<PeerMessage::MapData>(&*decoded) : nullptr;
    if (data == nullptr || data->group != this->options.identity.group || !this->isStarted)
        return true;
    if (LoadMessage::decode(data->document).has_value())
        this->reportLoad(found->first);
    else if (auto body = decodeMapMessage(data->document))
        this->enqueue(Received{this->peerOf(found->second), std::move(*body)});
    return true;
}

void GroupMember::reportLoad(const StreamKey &stream)
{
    this->engine->readLoad([this, stream](const std::optional<RankEngine::Tokens> &tokens) {
        if (!tokens.has_value() || this->inboundStreams.count(stream) == 0)
            return;
        const PeerMessage::MapData data{this->options.identity.group, LoadMessage{tokens}.encode()};
        stream.first->send(stream.second, encodeMessage(data));
    });
}

bool GroupMember::streamClosed(PeerSession &session, std::int32_t stream)
{
    return this->inboundStreams.erase({&session, stream}) > 0;
}

GroupMember::Peer GroupMember::peerOf(const InboundStream &inbound) const
{
    if (const auto known = this->roster.rankOf(inbound.process))
        return *known;
    return this->group->ranks + inbound.number;
}

std::string GroupMember::addToDump(const std::string &dump) const
{
    auto document = nlohmann::json::parse(dump, nullptr, false);
    if (!document.is_object())
        return dump;
    nlohmann::json row = {{"name", this->options.identity.group}, {"started", this->isStarted}};
    if (this->isStarted) {
        const MapMessage::MapInfo info = this->queryMapInfo();
        row.update({{"rank", this->rank},
                    {"ranks", this->group->ranks},
                    {"openLinks", this->links.openCount()},
                    {"member", info.member},
                    {"mapEpoch", info.map.epoch},
                    {"mapStep", info.mapStep},
                    {"engineEpoch", this->engineEpoch},
                    {"engineStep", this->engineState.step},
                    {"engineHeldAt", this->engineState.holdAt},
                    {"fence", info.refusedUpTo.fence},
                    {"openChange", nullptr}});
        if (info.open.fence != 0)
            row["openChange"] = {{"fence", info.open.fence},
                                 {"number", info.open.number},
                                 {"step", this->armedStep}};
    }
    document["group"] = row;
    return document.dump(2);
}

void GroupMember::log(std::uint32_t number, bool warning, const std::string &text) const
{
    EventLog::write({number, warning ? LogRecord::Level::Warning : LogRecord::Level::Info, text});
}

} // namespace Nutmegrill
