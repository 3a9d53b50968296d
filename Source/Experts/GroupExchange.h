#pragma once

#include "Core/Time.h"
#include "Experts/ExpertCounts.h"
#include "Experts/RankState.h"
#include "Membership/SlowRank.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Decides which messages the agent of one rank sends to the agents of the other ranks, and when.
///
/// The group is a star. The agent of the lowest live rank is its hub: the other agents report to it
/// alone, and its own state tells them what the group knows. While an agent hears no hub it sends
/// its state to all others, which finds the next hub. Commands are repeated only to agents that
/// have not confirmed them, and maps and counts keep to a rate, so that they leave room for the
/// states.
///
/// The instance list does not tell the groups of a service apart. An agent that gets a state of
/// another group ignores it, answers it once with its own and sends that agent nothing more, until
/// the agent sends a state of this group.
class GroupExchange
{
public:
    struct Settings
    {
        /// Rate at which the hub sends maps.
        std::uint64_t mapBytesPerSecond = 0;
        /// Rate at which all agents together send counts to the hub.
        std::uint64_t countBytesPerSecond = 0;

        /// Half of the link for maps and a third for counts; states need little.
        static Settings forLink(std::uint64_t bytesPerSecond)
        {
            return {bytesPerSecond / 2, bytesPerSecond / 3};
        }
    };

    struct Message
    {
        using Body =
                std::variant<std::shared_ptr<const RankState>, std::shared_ptr<const OwnerCommand>,
                             std::shared_ptr<const ExpertCounts>>;

        std::string address;
        Body body;
    };
    using Messages = std::vector<Message>;

    /// What became of a state that was received.
    enum class Receipt {
        New,          ///< newer than the known one of its rank
        Outdated,     ///< not newer, or of an earlier agent of the own rank
        OfOtherGroup, ///< of another group, or of this one at another size
        Invalid       ///< its rank is not one of its group
    };

    explicit GroupExchange(const Settings &settings) : settings(settings) {}

    /// Addresses of the agents that the instance list names.
    void setPeers(const std::set<std::string> &addresses);

    Receipt stateReceived(Instant now, const RankState &state);
    void commandReceived(Instant now, const OwnerCommand &command);
    /// Newest sample of the own rank, which is sent when its turn comes.
    void countsSampled(ExpertCounts counts);
    /// The engine changed without a report of its agent; read by the agent that stands in for it.
    void stateReadForPeer(const RankState &state) { this->rows[state.engine.rank].state = state; }

    /// Adds the messages that are due. \a own is completed with what only the hub tells.
    void tick(Instant now, RankState &own, const std::optional<OwnerCommand> &command,
              Messages &messages);

    bool isHub() const { return this->mode == Mode::Hub; }
    /// Whether the agent follows a hub, or is one that hears all ranks.
    bool isSettled(Instant now) const;

    /// Ranks without a report although one was due, during a change of map. Only the hub acts for
    /// them.
    std::vector<std::uint32_t> silentRanks(Instant now) const;

    /// Latest states of the other ranks.
    std::vector<const RankState *> states() const;
    const RankState *find(std::uint32_t rank) const;
    Instant heardAt(std::uint32_t rank) const;
    /// The ranks that count as slow, by the states of all agents and \a own.
    std::vector<SlowRank> slowRanks(Instant now, const RankState &own) const;

    /// Time without a report after which a rank counts as failed, in a group of that size.
    static std::chrono::milliseconds livenessTimeout(std::uint32_t ranks);

private:
    enum class Mode { Mesh, Star, Hub };

    struct Row
    {
        RankState state;
        Instant heardAt;
        /// The rank was the hub of this agent and fell silent.
        bool isFailedHub = false;
        /// Identifies the last command sent to the agent.
        std::tuple<OwnerCommand::Phase, std::uint64_t, std::uint64_t, std::uint64_t> sentCommand;
        Instant commandSentAt;
    };

    /// An agent that the instance list names.
    struct Peer
    {
        /// Its last state was of another group.
        bool isOfOtherGroup = false;
        /// The agent gets the own state again from then on, if it sends one of another group.
        Instant nextReplyAt;
        bool awaitsReply = false;
    };

    /// Forgets the ranks of the former group if the own engine is in another one now.
    void followGroup(const EngineState &own);
    /// The agent is in another group; its former rank, if any, is no longer in this one.
    void noteOtherGroup(Instant now, const RankState &state);
    static bool isNewer(Instant now, const RankState &state, const Row &known);
    void updateMode(Instant now, const RankState &own);
    std::chrono::milliseconds silenceLimit() const;
    /// Whether all lower ranks are known to have failed. One that this agent has not heard of may
    /// live: while there is a hub, only the hub hears the others.
    bool isLowestLive(Instant now) const;
    /// Since when the rank has been silent although this agent listened to it.
    Instant silentSince(std::uint32_t rank, const Row &row) const;
    /// Whether the hub waits for the pace of the own rank: it has changed, or expires at the hub.
    bool owesPace(Instant now, const RankState &own);
    void sendState(Instant now, const RankState &own, Messages &messages);
    /// Answers agents of other groups.
    void sendReplies(Instant now, Messages &messages);
    void sendCommand(Instant now, const OwnerCommand &command, Messages &messages);
    void shareCommand(const OwnerCommand &command);
    void sendCounts(Instant now, const RankState &own, Messages &messages);
    std::chrono::milliseconds countsPeriod() const;

    Settings settings;
    std::map<std::string, Peer> peers;
    std::optional<GroupIdentity> group;
    std::map<std::uint32_t, Row> rows;
    Mode mode = Mode::Mesh;
    std::uint32_t ownRank = 0;
    std::uint32_t ranks = 0;
    std::uint32_t hub = 0;
    /// The other ranks report to this agent since then.
    std::optional<Instant> listeningSince;
    /// Begin of the present change of map; states are sent more often during it.
    std::optional<Instant> switchingSince;
    std::optional<RankState> sentState;
    Instant nextStateAt;
    /// The pace is told again from then on, and after its last change until paceToldUntil.
    Instant nextPaceAt;
    Instant paceToldUntil;
    std::optional<ExpertCounts> sample;
    Instant nextCountsAt;
    Instant nextMapAt;
    /// The command in progress with the whole map, and with the difference to the map in use.
    std::shared_ptr<const OwnerCommand> wholeCommand;
    std::shared_ptr<const OwnerCommand> deltaCommand;
};

} // namespace Nutmegrill
