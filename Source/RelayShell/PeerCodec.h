#pragma once

#include "Experts/ExpertCounts.h"
#include "Experts/RankState.h"
#include "Relay/EntryReport.h"
#include "Relay/StoreMirror.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// CBOR encoding of the messages between entries and between the agents of a model group. Decoders
/// ignore unknown fields and return nullopt for malformed bytes.
std::string encodeReport(const EntryReport &report);
std::optional<EntryReport> decodeReport(std::string_view bytes);
/// JSON text with the record of a trait for the store.
std::string encodeCrashReport(const CrashReport &report);
std::optional<CrashReport> decodeCrashReport(std::string_view text);
std::string encodeUpdate(const StoreMirror::Update &update);
std::optional<StoreMirror::Update> decodeUpdate(std::string_view bytes);
std::string encodeRankState(const RankState &state);
std::optional<RankState> decodeRankState(std::string_view bytes);
std::string encodeOwnerCommand(const OwnerCommand &command);
std::optional<OwnerCommand> decodeOwnerCommand(std::string_view bytes);
std::string encodeExpertCounts(const ExpertCounts &sample);
std::optional<ExpertCounts> decodeExpertCounts(std::string_view bytes);

} // namespace Nutmegrill
