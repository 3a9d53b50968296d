#pragma once

#include <cstdint>
#include <string>

namespace Nutmegrill {

/// One numbered log event; docs/events.md lists every number with its meaning.
struct LogRecord
{
    enum class Level { Info, Warning, Error };

    std::uint32_t number = 0;
    Level level = Level::Info;
    std::string text;
};

} // namespace Nutmegrill
