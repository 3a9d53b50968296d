#pragma once

#include <string>
#include <vector>

namespace Nutmegrill {

/// Describes in text lines what the dump of a process contains about a request.
class RequestExplanation
{
public:
    /// \a requestId is the X-Request-Id of the caller or the full id with the client account before
    /// it ("account/id"). The result is empty when the dump does not contain the request.
    static std::vector<std::string> describe(const std::string &dump, const std::string &requestId);
};

} // namespace Nutmegrill
