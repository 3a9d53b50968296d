#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

/// The plan numbers that occur in one message; see PlanNumbering. A message names a number by its
/// place in the table, as most of its numbers are equal, and the table holds numbers of the same
/// owner as their distance.
class PlanNumberTable
{
public:
    /// Place of \a number, which is added if it is new; 0 for the number 0.
    std::size_t place(std::uint64_t number);
    /// Number at a place. Throws nlohmann::json::exception if the table has no such place.
    std::uint64_t at(std::size_t place) const;

    nlohmann::json toJson() const;
    /// Throws nlohmann::json::exception for a table that is malformed.
    static PlanNumberTable fromJson(const nlohmann::json &json);

private:
    std::vector<std::uint64_t> numbers;
};

} // namespace Nutmegrill
