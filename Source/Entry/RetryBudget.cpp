#include "Entry/RetryBudget.h"

#include <algorithm>

namespace Nutmegrill {

void RetryBudget::noteFirstAttempt()
{
    this->balance = std::min(this->balance + 1, Largest);
}

bool RetryBudget::takeRetry()
{
    if (this->balance < Retry)
        return false;
    this->balance -= Retry;
    return true;
}

} // namespace Nutmegrill
