#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace Nutmegrill {

/// Buffer of an answer's numbered events that are not acknowledged yet. The oldest events are
/// dropped above the byte budget, so that a missing acknowledgement cannot exhaust the memory.
class AnswerTail
{
public:
    void append(std::string data);

    /// Drops all events below \a nextEvent. Returns whether that removed any.
    bool acknowledge(std::uint64_t nextEvent);

    /// Drops events from the front until at most \a budget bytes are kept.
    void trimTo(std::uint64_t budget);

    bool retainsFrom(std::uint64_t index) const { return index >= this->first; }
    std::uint64_t firstEvent() const { return this->first; }
    std::uint64_t nextEvent() const { return this->first + this->events.size(); }
    std::uint64_t bytes() const { return this->retainedBytes; }

    /// \a index lies in [firstEvent(), nextEvent()).
    const std::string &at(std::uint64_t index) const { return this->events[index - this->first]; }

private:
    void dropFirst();

    std::deque<std::string> events;
    std::uint64_t first = 0;
    std::uint64_t retainedBytes = 0;
};

} // namespace Nutmegrill
