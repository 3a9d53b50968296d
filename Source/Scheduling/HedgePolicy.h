#pragma once

#include "Core/Time.h"
#include "Scheduling/DecayingHistogram.h"
#include "Scheduling/HedgeHold.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Nutmegrill {

struct HedgeInput;

/// Decides when a request gets a second attempt at another backend server. Load pattern: a few
/// requests that are far slower than the others of their service, for example at a backend server
/// that stalls.
class HedgePolicy
{
public:
    /// The first attempt of a request brought its first event or head after \a delay. When it was
    /// cancelled before that, the delay until then is recorded: without these samples the quantile
    /// would fall with each second attempt.
    void recordDelay(Instant now, const std::string &service, std::uint32_t promptTokens,
                     std::chrono::microseconds delay);

    /// Time after which an attempt without an event or head is late: the 0.95 quantile for the
    /// service and size of the prompt. Nothing with fewer than 50 recent samples.
    std::optional<std::chrono::microseconds> lateAfter(Instant now, const std::string &service,
                                                       std::uint32_t promptTokens) const;

    /// First reason in the order of HedgeHold that holds back a second attempt. \ref
    /// HedgeHold::NoServer is not among them: it is known only after the choice of a server.
    static std::optional<HedgeHold> reasonToHold(const HedgeInput &input);

    std::size_t size() const { return this->delays.size(); }

private:
    using Key = std::pair<std::string, std::size_t>;

    /// By service and size class.
    std::map<Key, DecayingHistogram> delays;
};

} // namespace Nutmegrill
