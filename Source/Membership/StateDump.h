#pragma once

#include "Membership/ConfigurationSpread.h"
#include "Membership/RecentRequests.h"
#include "Messages/MessageCodec.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Parts that the state dumps of entries and agents have in common. \a Json is the JSON type of the
/// dump.
template <typename Json>
class StateDump
{
public:
    static Json pendingTakeOuts(const ConfigurationSpread &spread)
    {
        Json rows = Json::array();
        for (const PeerMessage::PendingTakeOut &takeOut : spread.pendingTakeOuts())
            rows.push_back({{"failure_domain", takeOut.failureDomain},
                            {"epoch", takeOut.epoch},
                            {"change_id", takeOut.changeId}});
        return rows;
    }

    static Json recent(const RecentRequests &recent)
    {
        Json rows = Json::array();
        for (const RecentRequests::Row &row : recent.rows())
            rows.push_back({{"request_id", row.requestId},
                            {"account", row.account},
                            {"service", row.service},
                            {"agents", agents(row.starts)},
                            {"starts", row.starts.size()},
                            {"code", row.code},
                            {"run", runStateName(row.run)}});
        return rows;
    }

    /// Lists each agent once, in the order of its first attempt.
    static Json agents(const std::vector<std::string> &starts)
    {
        Json names = Json::array();
        for (auto start = starts.begin(); start != starts.end(); ++start) {
            if (std::find(starts.begin(), start, *start) == start)
                names.push_back(*start);
        }
        return names;
    }
};

} // namespace Nutmegrill
