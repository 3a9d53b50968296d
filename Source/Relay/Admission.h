#pragma once

#include <string>

namespace Nutmegrill {

struct AdmissionInput;

/// Why a request without a slot is refused now; empty when it may continue to wait. Under overload,
/// a request is refused at once if no slot is expected to become free in time. While a service
/// rejects everything because a model group has lost a rank, requests wait for the usual length of
/// such an outage, because most callers retry only once and would meet the same outage again.
std::string reasonToRefuse(const AdmissionInput &input);

} // namespace Nutmegrill
