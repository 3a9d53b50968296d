#pragma once

#include "Messages/PeerMessage.h"
#include "Messages/WorkMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Encodes a message as a CBOR array of its type name and an object with its fields.
std::string encodeMessage(const PeerMessage::Any &message);
std::string encodeMessage(const WorkMessage::Any &message);

/// Decodes the output of encodeMessage(). Unknown fields are ignored, missing ones take their
/// default. Returns nullopt for malformed bytes and unknown message types.
std::optional<PeerMessage::Any> decodePeerMessage(std::string_view bytes);
std::optional<WorkMessage::Any> decodeWorkMessage(std::string_view bytes);

/// Formats a message as one line of JSON for decision traces and state dumps.
std::string describeMessage(const PeerMessage::Any &message);
std::string describeMessage(const WorkMessage::Any &message);

/// Wire name of a run state: "not_run", "running", "unknown", "completed".
std::string_view runStateName(RunState run);

} // namespace Nutmegrill
