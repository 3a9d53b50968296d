#include "Programs/GroupOwner.h"

#include "Groups/GroupLog.h"
#include "Net/EventLog.h"
#include "Net/StoreClient.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

// An idle group is surveyed in this period, to found it again after the loss of all ranks and to
// detect a later owner. Each survey transfers the maps of all ranks, so the period is not shorter.
constexpr std::chrono::seconds SurveyPeriod(5);
// A new owner waits this long for its links at most. The first survey measures the message time,
// which must not include the setup of links.
constexpr std::chrono::seconds MaxLinkSetupTime(1);
// Attempts of a change that is aborted or times out.
constexpr unsigned MaxChangeAttempts = 5;

// The load is requested five times within the time that a skew must last, and smoothed with half of
// that time as half-life, so that single answers neither start nor prevent a change.
constexpr int LoadRequestsPerStartTime = 5;
constexpr int HalfLivesPerStartTime = 2;

PlannerSettings plannerSettings(const ModelGroup &group, const GroupOwner::Rebalancing &rebalancing)
{
    PlannerSettings settings;
    settings.startAfter = rebalancing.startAfter;
    settings.expertBytes = group.expertBytes;
    settings.storeRate = std::max<std::uint64_t>(rebalancing.weightsRate, 1);
    return settings;
}

std::optional<std::string> holderIn(const StoreResult &result)
{
    if (!result.isOk())
        return std::nullopt;
    return result.keyValues.empty() ? std::string() : result.keyValues.front().value;
}

const char *describeResult(MapChangeOwner::Result result)
{
    static constexpr std::array Names = {"none",     "committed", "aborted",
                                         "outdated", "timed out", "deposed"};
    return Names.at(static_cast<std::size_t>(result));
}

ControlServer::Answer errorAnswer(int status, const char *code, const std::string &message)
{
    const nlohmann::json body = {{"error", {{"code", code}, {"message", message}}}};
    return {status, "application/json", body.dump()};
}

} // namespace

GroupOwner::GroupOwner(EventLoop &loop, StoreClient &store, const GroupLinks::Identity &identity,
                       ModelGroup group, const Rebalancing &rebalancing)
    : loop(loop), store(store), identity(identity), group(std::move(group)),
      lease(identity.process), links(loop, identity,
                                     [this](const std::string &name, const std::string &document) {
                                         this->receive(name, document);
                                     }),
      rebalancing(rebalancing),
      expertLoad(std::chrono::microseconds(rebalancing.startAfter) / HalfLivesPerStartTime,
                 rebalancing.startAfter),
      planner(plannerSettings(this->group, rebalancing))
{}

GroupOwner::~GroupOwner() = default;

void GroupOwner::update(const std::vector<InstanceRecord> &instances)
{
    OwnerLease::Commands commands;
    bool candidate = false;
    for (const std::string &name : GroupRoster::ownerCandidates(this->group, instances))
        candidate = candidate || name == this->identity.process;
    this->lease.setCandidate(candidate, commands);
    this->execute(commands);
    if (this->roster.update(this->group, instances) && this->owner != nullptr)
        this->links.setTargets(this->roster.addresses());
}

void GroupOwner::tick()
{
    OwnerLease::Commands commands;
    this->lease.tick(this->loop.now(), commands);
    this->execute(commands);
    if (!this->checkOwnership())
        return;
    MapChangeCommand::List changeCommands;
    this->owner->tick(this->loop.now(), changeCommands);
    this->execute(changeCommands);
    this->startNextAction();
    this->requestLoad();
}

bool GroupOwner::checkOwnership()
{
    const std::uint64_t current =
            this->roster.isComplete() ? this->lease.fence(this->loop.now()) : 0;
    if (current == this->fence)
        return current != 0;
    if (this->fence != 0)
        this->log(GroupLog::OwnerLeaseLost, true,
                  "no longer owner with fence " + std::to_string(this->fence));
    this->fence = current;
    this->owner.reset();
    this->isActionOpen = false;
    this->isChangeOpen = false;
    this->links.setTargets({});
    if (current == 0)
        return false;
    this->log(GroupLog::OwnerLeaseWon, false, "owner with fence " + std::to_string(current));
    this->owner = std::make_unique<MapChangeOwner>(
            this->group.ranks, current, ExpertMap{0, GroupPlacement::initial(this->group)});
    this->links.setTargets(this->roster.addresses());
    this->nextSurveyAt = this->loop.now() + MaxLinkSetupTime;
    return true;
}

void GroupOwner::receive(const std::string &name, const std::string &document)
{
    const auto rank = this->roster.rankOf(name);
    // The lease may have expired since the last tick if the process was suspended.
    if (!rank.has_value() || !this->checkOwnership())
        return;
    if (auto loadAnswer = LoadMessage::decode(document);
        loadAnswer.has_value() && loadAnswer->tokens) {
        this->addRankLoad(*rank, std::move(*loadAnswer->tokens));
        return;
    }
    const auto message = decodeMapMessage(document);
    if (!message.has_value())
        return;
    MapChangeCommand::List commands;
    this->owner->handle(this->loop.now(), *rank, *message, commands);
    this->execute(commands);
    this->startNextAction();
}

// Starts the next map change or survey once the owner is idle.
void GroupOwner::startNextAction()
{
    if (!this->owner->isIdle())
        return;
    if (std::exchange(this->isActionOpen, false))
        this->processResult();
    const Instant now = this->loop.now();
    const bool linked = this->links.openCount() == this->group.ranks;
    const bool surveyed = this->owner->currentMap().epoch != 0;
    MapChangeCommand::List commands;
    if (surveyed && this->requestedSlots.has_value()) {
        this->isChangeOpen = true;
        this->owner->propose(now, {this->owner->currentMap().epoch + 1, *this->requestedSlots},
                             commands);
    } else if (now >= this->nextSurveyAt || (!surveyed && linked)) {
        this->owner->survey(now, commands);
    } else {
        return;
    }
    this->isActionOpen = true;
    this->nextSurveyAt = now + SurveyPeriod;
    this->execute(commands);
}

void GroupOwner::processResult()
{
    const MapChangeOwner::Result result = this->owner->lastResult();
    if (result == MapChangeOwner::Result::Deposed) {
        this->log(GroupLog::OwnerDeposed, true, "the ranks know a later owner");
        this->lastResult = describeResult(result);
        this->requestedSlots.reset();
        OwnerLease::Commands commands;
        this->lease.giveUp(this->loop.now(), commands);
        this->execute(commands);
        return;
    }
    if (!std::exchange(this->isChangeOpen, false))
        return;
    this->lastResult = describeResult(result);
    this->log(GroupLog::MapChangeEnded, result != MapChangeOwner::Result::Committed,
              std::string("map change ") + describeResult(result) + ", map epoch "
                      + std::to_string(this->owner->currentMap().epoch));
    if (result == MapChangeOwner::Result::Committed || ++this->changeAttempts >= MaxChangeAttempts)
        this->requestedSlots.reset();
}

void GroupOwner::requestLoad()
{
    const Instant now = this->loop.now();
    if (this->rebalancing.startAfter.count() == 0 || now < this->nextLoadRequestAt)
        return;
    this->nextLoadRequestAt =
            now
            + std::chrono::microseconds(this->rebalancing.startAfter) / LoadRequestsPerStartTime;
    this->rankLoads.clear();
    for (const GroupRoster::Member &row : this->roster.members())
        this->links.send(row.name, LoadMessage{}.encode());
}

void GroupOwner::addRankLoad(std::uint32_t rank, LoadMessage::Tokens tokens)
{
    bool isValid = tokens.size() == this->group.layers;
    for (const auto &layer : tokens)
        isValid = isValid && layer.size() == this->group.expertsPerLayer;
    if (!isValid)
        return;
    this->rankLoads[rank] = std::move(tokens);
    if (this->rankLoads.size() == this->group.ranks)
        this->planRebalancing();
}

void GroupOwner::planRebalancing()
{
    LoadMessage::Tokens totals(this->group.layers,
                               std::vector<double>(this->group.expertsPerLayer, 0.0));
    for (const auto &[rank, tokens] : this->rankLoads) {
        for (std::size_t layer = 0; layer < totals.size(); ++layer) {
            for (std::size_t expert = 0; expert < totals[layer].size(); ++expert)
                totals[layer][expert] += tokens[layer][expert];
        }
    }
    this->rankLoads.clear();
    const Instant now = this->loop.now();
    this->expertLoad.observe(now, totals);
    const ExpertMap &map = this->owner->currentMap();
    // A map that was requested already takes precedence.
    if (map.epoch == 0 || this->requestedSlots.has_value() || this->isActionOpen)
        return;
    this->skew = PlacementPlanner::skew(map, this->expertLoad.tokens());
    const auto plan = this->planner.consider(now, map, this->expertLoad.tokens());
    if (!plan.has_value())
        return;
    this->log(GroupLog::RebalancingPlanned, false,
              "skew " + std::to_string(plan->skewBefore) + ", planned "
                      + std::to_string(plan->skewAfter) + ", bytes to load "
                      + std::to_string(plan->bytes));
    this->requestedSlots = plan->map.slots;
    this->changeAttempts = 0;
    this->startNextAction();
}

void GroupOwner::execute(const MapChangeCommand::List &commands)
{
    for (const MapChangeCommand::Any &command : commands) {
        const auto *send = std::get_if<MapChangeCommand::Send>(&command);
        if (send != nullptr && send->to < this->roster.members().size())
            this->links.send(this->roster.members()[send->to].name,
                             encodeMapMessage(send->message));
    }
}

ControlServer::Answer GroupOwner::acceptMap(const HttpServer::Request &request)
{
    if (!this->checkOwnership())
        return errorAnswer(409, "not_owner", "the owner is: " + this->holder);
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    GroupPlacement::Slots slots;
    try {
        slots = document.at("slots").get<GroupPlacement::Slots>();
    } catch (const nlohmann::json::exception &) {
        return errorAnswer(400, "malformed_map", "slots[layer][rank] must list expert numbers");
    }
    if (const std::string fault = GroupPlacement::validationError(this->group, slots);
        !fault.empty())
        return errorAnswer(400, "unusable_map", fault);
    this->requestedSlots = std::move(slots);
    this->changeAttempts = 0;
    return {202, "application/json", R"({"accepted":true})"};
}

nlohmann::json GroupOwner::describe() const
{
    nlohmann::json row = {{"group", this->group.name},
                          {"holder", this->holder},
                          {"isOwner", this->owner != nullptr},
                          {"fence", this->fence},
                          {"openLinks", this->links.openCount()},
                          {"mapEpoch", 0},
                          {"skew", this->skew},
                          {"openChange", nullptr},
                          {"lastResult", this->lastResult}};
    if (this->owner != nullptr) {
        row["mapEpoch"] = this->owner->currentMap().epoch;
        if (this->isChangeOpen)
            row["openChange"] = this->owner->isArming() ? "arming" : "preparing";
    }
    return row;
}

// The owner key

void GroupOwner::execute(const OwnerLease::Commands &commands)
{
    for (const OwnerLease::Command &command : commands)
        std::visit([this](const auto &body) { this->execute(body); }, command);
}

void GroupOwner::execute(const OwnerLease::ReadKey &)
{
    this->store.read(this->ownerKey(), [this](const StoreResult &result) {
        const auto value = holderIn(result);
        this->updateHolder(value);
        OwnerLease::Commands commands;
        this->lease.keyRead(this->loop.now(), value, commands);
        this->execute(commands);
    });
}

void GroupOwner::execute(const OwnerLease::GrantLease &)
{
    this->store.grantLease(OwnerLease::Lifetime, [this](const StoreResult &result) {
        OwnerLease::Commands commands;
        this->lease.leaseGranted(this->loop.now(), result.isOk() ? result.lease : 0, commands);
        this->execute(commands);
    });
}

void GroupOwner::execute(const OwnerLease::ClaimKey &command)
{
    StoreTransaction::Operation put;
    put.kind = StoreTransaction::Operation::Kind::Put;
    put.key = this->ownerKey();
    put.value = command.value;
    put.lease = command.lease;
    StoreTransaction::Operation get;
    get.key = this->ownerKey();
    StoreTransaction transaction;
    transaction.compares.push_back({this->ownerKey(), std::nullopt, std::nullopt});
    transaction.onSuccess.push_back(std::move(put));
    transaction.onFailure.push_back(std::move(get));
    this->store.transact(transaction, [this, value = command.value](const StoreResult &result) {
        std::optional<std::string> holder;
        std::int64_t createRevision = 0;
        if (result.isOk() && result.succeeded) {
            holder = value;
            createRevision = result.revision;
        } else if (result.isOk() && !result.operationResults.empty()) {
            holder = holderIn(result.operationResults.front());
            if (!result.operationResults.front().keyValues.empty())
                createRevision = result.operationResults.front().keyValues.front().createRevision;
        }
        this->updateHolder(holder);
        OwnerLease::Commands commands;
        this->lease.keyClaimed(this->loop.now(), holder, createRevision, commands);
        this->execute(commands);
    });
}

void GroupOwner::execute(const OwnerLease::KeepLease &command)
{
    this->store.keepLeaseAlive(command.lease, [this](const StoreResult &result) {
        OwnerLease::Commands commands;
        this->lease.leaseKept(this->loop.now(),
                              result.isOk() ? std::optional<bool>(result.lease != 0) : std::nullopt,
                              commands);
        this->execute(commands);
    });
}

void GroupOwner::execute(const OwnerLease::RevokeLease &command)
{
    this->store.revokeLease(command.lease, [](const StoreResult &) {});
}

std::string GroupOwner::ownerKey() const
{
    return "nutmegrill/groups/" + this->group.name + "/owner";
}

void GroupOwner::updateHolder(const std::optional<std::string> &value)
{
    if (value.has_value())
        this->holder = value->substr(0, value->find(' '));
}

void GroupOwner::log(std::uint32_t number, bool warning, const std::string &text) const
{
    EventLog::write({number, warning ? LogRecord::Level::Warning : LogRecord::Level::Info,
                     "group " + this->group.name + ": " + text});
}

} // namespace Nutmegrill
