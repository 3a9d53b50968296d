#include "RelayShell/PlanNumberTable.h"

#include "Experts/PlanNumbering.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

using Json = nlohmann::json;

std::size_t PlanNumberTable::place(std::uint64_t number)
{
    if (number == 0)
        return 0;
    const auto found = std::find(this->numbers.begin(), this->numbers.end(), number);
    if (found != this->numbers.end())
        return static_cast<std::size_t>(found - this->numbers.begin()) + 1;
    this->numbers.push_back(number);
    return this->numbers.size();
}

std::uint64_t PlanNumberTable::at(std::size_t place) const
{
    if (place == 0)
        return 0;
    if (place > this->numbers.size())
        throw Json::other_error::create(501, "no such plan number", nullptr);
    return this->numbers[place - 1];
}

Json PlanNumberTable::toJson() const
{
    Json json = Json::array();
    for (const std::uint64_t number : this->numbers) {
        const auto distance = static_cast<std::int64_t>(number - this->numbers.front());
        constexpr auto Step = static_cast<std::int64_t>(PlanNumbering::Step);
        // The first number, and those of other owners, are written whole, in an array of their own.
        if (!json.empty() && distance % Step == 0)
            json.push_back(distance / Step);
        else
            json.push_back(Json::array({number}));
    }
    return json;
}

PlanNumberTable PlanNumberTable::fromJson(const Json &json)
{
    PlanNumberTable table;
    for (const Json &entry : json) {
        if (entry.is_array())
            table.numbers.push_back(entry.at(0).get<std::uint64_t>());
        else
            table.numbers.push_back(table.at(1)
                                    + static_cast<std::uint64_t>(entry.get<std::int64_t>())
                                              * PlanNumbering::Step);
    }
    return table;
}

} // namespace Nutmegrill
