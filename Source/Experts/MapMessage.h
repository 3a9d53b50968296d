#pragma once

#include "Experts/ExpertMap.h"
#include "Experts/MapChangeId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Nutmegrill {

/// Messages of the map change protocol. They are sent as the document of PeerMessage::MapData.
class MapMessage
{
public:
    /// Peer number of a sender or receiver: ranks count from 0, other numbers are owners.
    using Peer = std::uint32_t;

    enum class Answer { Unknown, Armed, Refused };

    /// Asks a rank to load the weights of a map.
    struct Stage
    {
        MapChangeId change;
        ExpertMap map;
    };

    struct Staged
    {
        MapChangeId change;
        /// Last step that the rank has started.
        std::uint64_t step = 0;
    };

    /// Asks a rank to vote for running \a step and all later ones with the staged map.
    struct Arm
    {
        MapChangeId change;
        std::uint64_t step = 0;
    };

    struct Armed
    {
        MapChangeId change;
        std::uint64_t incarnation = 0;
    };

    struct Refused
    {
        MapChangeId change;
        std::uint64_t incarnation = 0;
        std::string reason;
    };

    struct Outcome
    {
        MapChangeId change;
        bool commit = false;
        /// Incarnations of the ranks whose votes made the outcome.
        std::vector<std::uint64_t> incarnations;
    };

    struct AskVote
    {
        MapChangeId change;
    };

    struct Vote
    {
        MapChangeId change;
        Answer answer = Answer::Unknown;
        std::uint64_t incarnation = 0;
    };

    /// From a restarted rank (fence 0) or from an owner (incarnation 0).
    struct MapWanted
    {
        std::uint64_t incarnation = 0;
        std::uint64_t fence = 0;
        std::uint64_t survey = 0;
    };

    struct MapInfo
    {
        std::uint64_t survey = 0;
        /// False while the sender has not learned the map since its start.
        bool member = false;
        /// Fencing number under which the group was founded.
        std::uint64_t founding = 0;
        ExpertMap map;
        ExpertMap previousMap;
        MapChangeId mapChange;
        /// First step of \a map; earlier steps use \a previousMap.
        std::uint64_t mapStep = 0;
        MapChangeId refusedUpTo;
        /// The change for which the sender is armed; fence 0 when there is none.
        MapChangeId open;
        /// Last step that the sender has started.
        std::uint64_t step = 0;
        /// The sender starts no step below this one.
        std::uint64_t firstStep = 0;
        std::vector<std::uint64_t> incarnations;
    };

    /// Gives a group whose ranks have all lost the map a new one. Ranks compare the incarnations
    /// with their own, so that a late copy does not reset a later group.
    struct Found
    {
        std::uint64_t fence = 0;
        ExpertMap map;
        std::vector<std::uint64_t> incarnations;
    };

    using Any = std::variant<Stage, Staged, Arm, Armed, Refused, Outcome, AskVote, Vote, MapWanted,
                             MapInfo, Found>;
};

/// JSON of one message: an array of the message's type name and its fields.
std::string encodeMapMessage(const MapMessage::Any &message);

/// Reads encodeMapMessage() output. Unknown fields are ignored, missing ones take their default.
/// Malformed text and unknown message types give nullopt.
std::optional<MapMessage::Any> decodeMapMessage(std::string_view document);

} // namespace Nutmegrill
