// The messages that an agent exchanges with the agents of the other ranks and with entries.

#include "Net/EventLog.h"
#include "Relay/RelayLog.h"
#include "RelayShell/GroupQueryCodec.h"
#include "RelayShell/PeerCodec.h"
#include "RelayShell/RankAgent.h"

#include <chrono>
#include <utility>

namespace Nutmegrill {

namespace {

/// Other groups that an agent remembers as logged.
constexpr std::size_t MaxLoggedGroups = 64;
/// Entries ask an agent once a minute; one that has missed two turns has ended.
constexpr std::chrono::seconds AskingEntryRetention{150};

} // namespace

void RankAgent::exchangeStates()
{
    const Instant now = this->loop.now();
    if (!this->rankSwitch->engine())
        return;
    const std::optional<OwnerCommand> command = this->tickOwner();
    if (command)
        this->rankSwitch->ownerCommanded(*command);
    this->describe(this->state);
    this->logPace();
    const bool wasAskedLately = now < this->entryAskedAt + AskingEntryRetention;
    this->state.entry = wasAskedLately ? this->askingEntry : std::string();
    GroupExchange::Messages messages;
    this->exchange.tick(now, this->state, command, messages);
    for (const GroupExchange::Message &message : messages)
        this->sendTo(message.address, this->encode(message.body));
    this->notifyEntries();
}

void RankAgent::describe(RankState &own) const
{
    this->rankSwitch->describe(own);
    own.engine.pace = this->pace.at(this->loop.now());
}

void RankAgent::logPace()
{
    if (const double pace = this->state.engine.pace; pace != this->loggedPace) {
        this->loggedPace = pace;
        this->log(RelayLog::RankPaceChanged,
                  "rank=" + std::to_string(this->rank()) + " pace=" + std::to_string(pace));
    }
}

void RankAgent::notifyEntries()
{
    const Instant now = this->loop.now();
    if (!this->exchange.isHub()) {
        this->notices.stop();
        return;
    }
    const auto notice = this->notices.tick(now, this->exchange.slowRanks(now, this->state));
    if (!notice)
        return;
    const std::string bytes = encodeGroupMembership(
            {this->options.engineAddress, this->state.engine.group, notice->ranks});
    for (const std::string &entry : notice->entries)
        this->sendTo(entry, bytes);
}

void RankAgent::answerGroupQuery(const std::string &entry)
{
    const Instant now = this->loop.now();
    this->notices.entryHeard(now, entry);
    this->askingEntry = entry;
    this->entryAskedAt = now;
    if (const auto &known = this->rankSwitch->engine(); known && this->engineReachable)
        this->sendTo(entry, encodeGroupMembership({this->options.engineAddress, known->group,
                                                   this->notices.ranks()}));
}

std::string RankAgent::encode(const GroupExchange::Message::Body &body)
{
    if (const auto *state = std::get_if<std::shared_ptr<const RankState>>(&body))
        return encodeRankState(**state);
    if (const auto *counts = std::get_if<std::shared_ptr<const ExpertCounts>>(&body))
        return encodeExpertCounts(**counts);
    const auto &command = std::get<std::shared_ptr<const OwnerCommand>>(body);
    auto &[encoded, bytes] = this->encodedCommands[command->delta.has_value() ? 1 : 0];
    if (encoded != command) {
        encoded = command;
        bytes = encodeOwnerCommand(*command);
    }
    return bytes;
}

void RankAgent::sendTo(const std::string &address, const std::string &bytes)
{
    ++this->traffic.sentMessages;
    this->traffic.sentBytes += bytes.size();
    if (!this->peerSocket.send(address, bytes))
        ++this->traffic.unsentMessages;
}

void RankAgent::logTraffic()
{
    const PeerCounters &counters = this->traffic;
    this->log(RelayLog::PeerTraffic,
              "sent=" + std::to_string(counters.sentMessages)
                      + " sent_bytes=" + std::to_string(counters.sentBytes)
                      + " received=" + std::to_string(counters.receivedMessages)
                      + " received_bytes=" + std::to_string(counters.receivedBytes)
                      + " missed_states=" + std::to_string(counters.missedStates)
                      + " unsent=" + std::to_string(counters.unsentMessages));
    this->metrics.add("nutmegrill_messages_unsent_total", {},
                      static_cast<double>(counters.unsentMessages));
    this->metrics.add("nutmegrill_peer_bytes_total", {{"direction", "sent"}},
                      static_cast<double>(counters.sentBytes));
    this->metrics.add("nutmegrill_peer_bytes_total", {{"direction", "received"}},
                      static_cast<double>(counters.receivedBytes));
    this->metrics.add("nutmegrill_peer_states_missed_total", {},
                      static_cast<double>(counters.missedStates));
    this->traffic = {};
}

void RankAgent::handleDatagram(std::string_view bytes)
{
    ++this->traffic.receivedMessages;
    this->traffic.receivedBytes += bytes.size();
    const Instant now = this->loop.now();
    if (const auto state = decodeRankState(bytes)) {
        this->handleState(now, *state);
        return;
    }
    if (const auto command = decodeOwnerCommand(bytes)) {
        this->exchange.commandReceived(now, *command);
        this->rankSwitch->ownerCommanded(*command);
        this->sendNextCommand();
        return;
    }
    if (const auto counts = decodeExpertCounts(bytes)) {
        if (this->owner != nullptr)
            this->owner->addCounts(*counts);
        return;
    }
    if (const auto replyAddress = decodeGroupQuery(bytes)) {
        this->answerGroupQuery(*replyAddress);
        return;
    }
    this->metrics.add("nutmegrill_reports_unreadable_total", {});
}

void RankAgent::handleState(Instant now, const RankState &state)
{
    const RankState *known = this->exchange.find(state.engine.rank);
    const bool follows = known != nullptr && known->incarnation == state.incarnation
                         && known->sequence < state.sequence;
    const std::uint64_t missed = follows ? state.sequence - known->sequence - 1 : 0;
    switch (this->exchange.stateReceived(now, state)) {
    case GroupExchange::Receipt::Outdated:
        return;
    case GroupExchange::Receipt::Invalid:
        this->logInvalidRank(state.engine, state.address);
        return;
    case GroupExchange::Receipt::OfOtherGroup:
        if (this->loggedGroups.size() < MaxLoggedGroups
            && this->loggedGroups
                       .insert(state.engine.group + "/" + std::to_string(state.engine.ranks))
                       .second)
            this->log(RelayLog::OtherGroupHeard,
                      "group=" + state.engine.group + " ranks=" + std::to_string(state.engine.ranks)
                              + " from=" + state.address);
        return;
    case GroupExchange::Receipt::New:
        break;
    }
    this->traffic.missedStates += missed;
    if (!state.entry.empty())
        this->notices.entryHeard(now, state.entry);
    this->rankSwitch->peerReported(state);
    if (this->owner != nullptr)
        this->owner->report(now, state);
    // The next command is sent without waiting for the next tick: the shorter a step is held, the
    // lower the risk that an agent pauses meanwhile.
    this->sendNextCommand();
}

} // namespace Nutmegrill
