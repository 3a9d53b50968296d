#pragma once

#include "Messages/PeerMessage.h"
#include "Messages/WorkMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// CBOR of one message: an array of the message's type name and its fields.
std::string encodeMessage(const PeerMessage::Any &message);
std::string encodeMessage(const WorkMessage::Any &message);

/// Reads encodeMessage() output. Unknown fields are ignored, missing ones take their default.
/// Malformed bytes and unknown message types give nullopt.
std::optional<PeerMessage::Any> decodePeerMessage(std::string_view bytes);
std::optional<WorkMessage::Any> decodeWorkMessage(std::string_view bytes);

/// The same message as one line of JSON, for decision traces and state dumps.
std::string describeMessage(const PeerMessage::Any &message);
std::string describeMessage(const WorkMessage::Any &message);

/// Wire name of a run state: "not_run", "running", "unknown", "completed".
std::string_view runStateName(RunState run);

} // namespace Nutmegrill
