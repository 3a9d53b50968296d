#include "Agent/AnswerTail.h"

#include <utility>

namespace Nutmegrill {

void AnswerTail::append(std::string data)
{
    this->retainedBytes += data.size();
    this->events.push_back(std::move(data));
}

bool AnswerTail::acknowledge(std::uint64_t nextEvent)
{
    const std::uint64_t before = this->first;
    while (this->first < nextEvent && !this->events.empty())
        this->dropFirst();
    return this->first > before;
}

void AnswerTail::trimTo(std::uint64_t budget)
{
    while (this->retainedBytes > budget && !this->events.empty())
        this->dropFirst();
}

void AnswerTail::dropFirst()
{
    this->retainedBytes -= this->events.front().size();
    this->events.pop_front();
    ++this->first;
}

} // namespace Nutmegrill
