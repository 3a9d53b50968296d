#include "Relay/WaitingOrder.h"

#include "Relay/Exchange.h"

#include <tuple>

namespace Nutmegrill {

bool isServedBefore(const Exchange &left, const Exchange &right, Instant now)
{
    const auto key = [now](const Exchange &exchange) {
        return std::make_tuple(!exchange.isStreamOpen, exchange.startBy < now, exchange.priority,
                               exchange.accountOpenRequests, exchange.arrivedAt, exchange.caller);
    };
    return key(left) < key(right);
}

} // namespace Nutmegrill
