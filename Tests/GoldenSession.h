#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Golden test: Tests/Golden/<name>.session contains one event per line, <name>.trace the expected
/// decision trace, compared byte for byte. Empty lines and lines starting with '#' are ignored.
/// NUTMEGRILL_UPDATE_GOLDEN=1 regenerates the trace, which is then reviewed manually.
class GoldenSession
{
public:
    /// Turns one event line into the trace lines that the decision logic produced for it.
    using Step = std::function<std::vector<std::string>(const std::string &line)>;

    explicit GoldenSession(std::string name);

    /// Runs every line of the session through \a step. Returns an empty string when the trace
    /// matches, otherwise the first difference. A missing session or trace file is a difference.
    std::string run(const Step &step) const;

private:
    std::string name;
};

} // namespace Nutmegrill
