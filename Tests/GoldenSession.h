#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// A recorded session: Tests/Golden/<name>.session holds one event a line, <name>.trace the full
/// decision trace that it must produce, byte for byte. Lines that are empty or begin with '#' are
/// comments. NUTMEGRILL_UPDATE_GOLDEN=1 writes the trace anew; the result is reviewed by reading
/// it.
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
