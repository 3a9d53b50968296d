#include "Entry/RetryBudget.h"

#include <algorithm>

namespace Nutmegrill {

void RetryBudget::recordFirstAttempt()
{
    this->balance = std::min(this->balance + 1, MaxBalance);
}

bool RetryBudget::tryAcquire()
{
    if (this->balance < RetryCost)
        return false;
    this->balance -= RetryCost;
    return true;
}

} // namespace Nutmegrill
