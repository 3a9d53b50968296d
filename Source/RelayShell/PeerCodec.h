#pragma once

#include "Relay/EntryReport.h"
#include "Relay/StoreMirror.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// CBOR of what entries tell one another. Unknown fields are ignored; malformed bytes give nullopt.
std::string encodeReport(const EntryReport &report);
std::optional<EntryReport> decodeReport(std::string_view bytes);
std::string encodeUpdate(const StoreMirror::Update &update);
std::optional<StoreMirror::Update> decodeUpdate(std::string_view bytes);

} // namespace Nutmegrill
