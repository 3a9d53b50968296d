#pragma once

#include <string>
#include <vector>

namespace Nutmegrill {

/// What the dump of one process says about a request, in readable lines.
class RequestExplanation
{
public:
    /// \a requestId is the X-Request-Id of the caller or the full id with the client account before
    /// it ("account/id"). The result is empty when the process does not know the request.
    static std::vector<std::string> linesOf(const std::string &dump, const std::string &requestId);
};

} // namespace Nutmegrill
