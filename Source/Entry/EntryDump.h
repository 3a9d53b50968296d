#pragma once

#include "Core/Time.h"

#include <string>

namespace Nutmegrill {

struct EntryTables;

/// State of an entry as JSON, without bodies and keys.
std::string dumpEntry(Instant now, const EntryTables &tables, bool ready, bool relay);

} // namespace Nutmegrill
