#include "Config/NearestName.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <numeric>

namespace Nutmegrill {

namespace {

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

// Case-insensitive Levenshtein distance.
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t change = diagonal + (lower(left[i]) == lower(right[j]) ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({change, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(std::string_view name, const std::vector<std::string> &candidates)
{
    std::string nearest;
    std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string &candidate : candidates) {
        if (const std::size_t distance = editDistance(name, candidate); distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace Nutmegrill
