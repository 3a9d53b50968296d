#pragma once

#include "Duties/DutyRecord.h"
#include "Duties/UsageMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// JSON text of the record of a duty in the store.
std::string encodeDutyRecord(const DutyRecord &record);
std::optional<DutyRecord> decodeDutyRecord(std::string_view text);

/// CBOR message between entries.
std::string encodeUsageMessage(const UsageMessage &message);
/// Nullopt if the bytes are no such message.
std::optional<UsageMessage> decodeUsageMessage(std::string_view bytes);

} // namespace Nutmegrill
