#include "Membership/RecentRequests.h"

#include <utility>

namespace Nutmegrill {

void RecentRequests::add(const WorkMessage::Request &request, std::vector<std::string> starts,
                         std::string code, RunState run)
{
    if (this->finished.size() == MaxRows)
        this->finished.pop_front();
    this->finished.push_back({request.requestId, request.account, request.service,
                              std::move(starts), std::move(code), run});
}

} // namespace Nutmegrill
