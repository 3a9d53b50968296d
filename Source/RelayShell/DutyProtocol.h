#pragma once

#include "Duties/UsageReporter.h"

#include <string>

namespace Nutmegrill {

/// Wire format of the calls that are the duty of one entry at a time. Implementations only
/// translate and hold no decision logic.
class DutyProtocol
{
public:
    virtual ~DutyProtocol() = default;

    /// The whole HTTP request of a usage report. \a holder is the name of this instance.
    virtual std::string writeUsageReport(const std::string &address, const std::string &holder,
                                         const UsageReport &report) const = 0;
};

} // namespace Nutmegrill
