#pragma once

#include "Core/Time.h"

#include <string>

namespace Nutmegrill {

struct EntryTables;

/// Returns the state of an entry as JSON, without request bodies and keys.
std::string dumpEntry(Instant now, const EntryTables &tables, bool ready, bool relay);

} // namespace Nutmegrill
