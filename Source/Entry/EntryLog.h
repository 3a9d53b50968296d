#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Event numbers of the entry's log records.
class EntryLog
{
public:
    static constexpr std::uint32_t StopBegins = 2001;
    static constexpr std::uint32_t StreamsEnded = 2002;
    static constexpr std::uint32_t Ready = 2003;
    static constexpr std::uint32_t ConfigurationInForce = 2004;
    static constexpr std::uint32_t TakeOutInForce = 2005;
    static constexpr std::uint32_t ReaderStalled = 2006;
    static constexpr std::uint32_t Quarantined = 2007;
    static constexpr std::uint32_t Continued = 2008;
    static constexpr std::uint32_t OutcomeUnknown = 2009;
    static constexpr std::uint32_t ReaderTooSlow = 2010;
};

} // namespace Nutmegrill
