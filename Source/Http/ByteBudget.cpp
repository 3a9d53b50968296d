#include "Http/ByteBudget.h"

#include <chrono>

namespace Nutmegrill {

namespace {

/// Sound callers pause for less while they send or read.
constexpr std::chrono::milliseconds MinStall{2000};
/// Requests up to this size may use the whole budget, others three quarters of it.
constexpr std::size_t SmallRequestBytes = 64U << 10U;
constexpr std::size_t LargeShareDivisor = 4;

} // namespace

void ByteBudget::setHeld(Holder *holder, std::size_t bytes)
{
    const auto found = this->holders.find(holder);
    if (found != this->holders.end()) {
        this->held -= found->second;
        found->second = bytes;
        if (bytes == 0)
            this->holders.erase(found);
    } else if (bytes > 0) {
        this->holders.emplace(holder, bytes);
    }
    this->held += bytes;
}

std::size_t ByteBudget::limitFor(std::size_t bytes) const
{
    return bytes <= SmallRequestBytes ? this->limit : this->limit - this->limit / LargeShareDivisor;
}

ByteBudget::Holder *ByteBudget::longestStalled(Instant now, const Holder *except) const
{
    Holder *longest = nullptr;
    Instant since = now - MinStall;
    for (const auto &[holder, bytes] : this->holders) {
        if (holder != except && holder->stalledSince() < since) {
            since = holder->stalledSince();
            longest = holder;
        }
    }
    return longest;
}

bool ByteBudget::makeRoom(Instant now, std::size_t bytes, const Holder *holder)
{
    const std::size_t most = this->limitFor(bytes);
    while (this->held + bytes > most) {
        Holder *stalled = this->longestStalled(now, holder);
        if (stalled == nullptr)
            return false;
        ++this->sheds;
        this->setHeld(stalled, 0);
        stalled->shed();
    }
    return true;
}

} // namespace Nutmegrill
