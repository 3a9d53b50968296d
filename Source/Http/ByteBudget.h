#pragma once

#include "Core/Time.h"

#include <cstddef>
#include <unordered_map>

namespace Nutmegrill {

/// Bounds the bytes that all connections of a process hold for their peers: partial and open
/// requests, and responses that were not sent yet. Load pattern: many callers that send bodies
/// without their end, or that do not read their answers, and together outgrow the memory of the
/// instance.
class ByteBudget
{
public:
    /// A connection that can give up what it holds.
    class Holder
    {
    public:
        virtual ~Holder() = default;
        /// Since when its peer has sent or taken nothing; NoDeadline if it has to be kept.
        virtual Instant stalledSince() const = 0;
        virtual void shed() = 0;
    };

    explicit ByteBudget(std::size_t limit) : limit(limit) {}

    void setLimit(std::size_t bytes) { this->limit = bytes; }

    /// Records what a holder holds in all; 0 removes it.
    void setHeld(Holder *holder, std::size_t bytes);

    /// Makes room for that many more bytes of a holder, if need be by shedding others that have
    /// stalled. Large requests leave a part of the budget to small ones.
    bool makeRoom(Instant now, std::size_t bytes, const Holder *holder);

    /// Whether a request of that size fits when nothing else is held.
    bool canEverFit(std::size_t bytes) const { return bytes <= this->limitFor(bytes); }

    /// Whether more is held than the limit, which answers may cause.
    bool isExhausted() const { return this->held > this->limit; }

    std::size_t heldBytes() const { return this->held; }
    std::size_t shedCount() const { return this->sheds; }

private:
    std::size_t limitFor(std::size_t bytes) const;
    Holder *longestStalled(Instant now, const Holder *except) const;

    std::size_t limit;
    std::size_t held = 0;
    std::size_t sheds = 0;
    std::unordered_map<Holder *, std::size_t> holders;
};

} // namespace Nutmegrill
