#pragma once

#include "Core/Time.h"
#include "Experts/MapChangeCommand.h"
#include "Experts/MapChangeRules.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Nutmegrill {

/// Takes part in map changes for one rank. It decides with which map its engine may run a step and
/// is the fence for engines that ignore fencing numbers.
///
/// Claim: no step number is started with two maps. Assumption: a rank starts step k only after
/// all ranks finished step k - 1 (lockstep).
///
/// 1. A vote is final. "Armed" is given only for a step that the rank has not started, and the rank
///    then holds that step until it knows the outcome. "Refused" covers every id up to
///    refusedUpTo, which only rises; a question about an unknown change raises it before the
///    answer. The votes of one set of incarnations therefore give one outcome, whoever counts
///    them and however messages are reordered, repeated or delayed. No store is involved.
/// 2. Commit needs the vote of every rank, so each has held the step. A rank arms one change at a
///    time, only on top of the epoch of its map and only when its engine runs that map.
///    Two owners therefore cannot get two changes of one epoch committed. Fencing keeps the plan
///    of an old owner, resumed after its lease expired, from being armed at all.
/// 3. A restarted rank holds all steps and gives no vote until every other rank has answered it.
///    With its answer a rank drops the votes of the earlier incarnation and from then on ignores
///    outcomes made with them. An outcome made before is in some answer and is adopted. If no
///    answer has one, none can be made any more with the old vote, and the new incarnation refuses
///    the open change.
/// 4. A rank that fails may have known an outcome that no answer has, and may have started a step
///    with it. When rank P answers a restarted rank R, P has not started step p + 1, so no rank has
///    started p + 2, and none can before R joins. P therefore starts no step below p + 2 from
///    then on, and R joins at the highest such step. The step of the failed rank is never repeated
///    under its number; the engines repeat its work under a new number.
/// 5. If all ranks have lost the map, only an owner can found the group again. The steps of a
///    founding start at fence * 2^28, so they are never those of an earlier founding, and a rank
///    gives no vote on changes of an earlier founding. 2^28 steps of 33 ms are 102 days; the next
///    founding needs a higher store revision, which grows faster.
class MapChangeMember
{
public:
    using Peer = MapMessage::Peer;
    using Commands = MapChangeCommand::List;

    struct Permission
    {
        bool run = false;
        /// Epoch of the map to run the step with.
        std::uint64_t epoch = 0;
    };

    /// \a incarnation is higher than that of earlier starts (start time in microseconds); if the
    /// clock was set back, the rank learns the higher number from its peers.
    MapChangeMember(Peer rank, std::uint32_t ranks, std::uint64_t incarnation,
                    const MapChangeRules &rules = {});

    void handle(Instant now, Peer from, const MapMessage::Any &message, Commands &commands);
    void tick(Instant now, Commands &commands);

    /// Result of MapChangeCommand::StageWeights.
    void weightsStaged(const MapChangeId &change, bool loaded, Commands &commands);

    /// Whether the engine may start \a step now, and with which map. A granted step counts as
    /// started.
    Permission mayRun(std::uint64_t step);

    /// False until the rank has learned the map since its start.
    bool isMember() const { return this->state.member; }

    /// After a restart of any rank the engines go on with the highest firstStep() of all ranks.
    std::uint64_t firstStep() const;

    const ExpertMap &map() const { return this->state.map; }
    bool isArmed() const { return this->open.has_value(); }

private:
    struct StagedMap
    {
        MapChangeId change;
        ExpertMap map;
        Peer owner = 0;
        bool loaded = false;
    };

    struct OpenChange
    {
        MapChangeId change;
        ExpertMap map;
        std::uint64_t step = 0;
        std::map<Peer, MapMessage::Answer> votes;
    };

    void receive(Instant now, Peer from, const MapMessage::Stage &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Arm &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Outcome &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::AskVote &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Vote &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::MapWanted &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::MapInfo &message, Commands &commands);
    void receive(Instant now, Peer from, const MapMessage::Found &message, Commands &commands);
    // The other messages are addressed to owners.
    template <typename Other>
    void receive(Instant, Peer, const Other &, Commands &)
    {}

    /// Whether the rank gives no vote on a change: it is not a member, or the change belongs to an
    /// earlier founding. In the latter case the owner is sent the state of the rank.
    bool ignores(Peer from, const MapChangeId &change, Commands &commands) const;
    const char *reasonToRefuse(const MapMessage::Arm &message) const;
    void refuse(Peer to, const MapChangeId &change, const char *reason, Commands &commands);
    void raiseRefused(const MapChangeId &change);
    void countVotes(Commands &commands);
    void settle(bool commit, Commands &commands);
    void recordIncarnation(Peer rank, std::uint64_t incarnation);
    MapMessage::MapInfo describe(std::uint64_t survey) const;
    void tryJoin(Commands &commands);
    void sendToOthers(const MapMessage::Any &message, Commands &commands) const;

    Peer rank;
    std::uint32_t ranks;
    MapChangeRules rules;
    /// State that this rank reports; describe() fills in survey and open.
    MapMessage::MapInfo state;
    std::optional<StagedMap> staged;
    std::optional<OpenChange> open;
    /// Answers to this incarnation's MapWanted while it is not a member.
    std::map<Peer, MapMessage::MapInfo> answers;
    Instant nextQueryAt;
};

} // namespace Nutmegrill
