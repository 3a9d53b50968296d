#pragma once

#include "Config/Route.h"

#include <chrono>
#include <string>

namespace Nutmegrill {

/// Route of `host.example` to one service, with the users' required latency and pause targets.
inline Route makeRoute(const std::string &prefix, Route::Kind kind, const std::string &service)
{
    using std::chrono::milliseconds;
    const bool isStream = kind == Route::Kind::Stream;
    Route made;
    made.name = prefix;
    made.host = "host.example";
    made.pathPrefix = prefix;
    made.kind = kind;
    made.targets = {{service, 1}};
    made.timeout = isStream ? milliseconds(8000) : milliseconds(800);
    made.latencyTarget = isStream ? milliseconds(400) : milliseconds(300);
    made.pauseTarget = isStream ? milliseconds(120) : milliseconds(0);
    made.maxRuns = kind == Route::Kind::NonIdempotent ? 1 : 2;
    made.isResumable = isStream;
    return made;
}

} // namespace Nutmegrill
