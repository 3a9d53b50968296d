#include "Config/ByteSize.h"

#include <array>
#include <charconv>
#include <limits>
#include <system_error>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr std::array<std::pair<std::string_view, unsigned>, 6> Units{
        {{"", 0}, {"B", 0}, {"KiB", 10}, {"MiB", 20}, {"GiB", 30}, {"TiB", 40}}};

} // namespace

std::optional<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

std::optional<std::uint64_t> parseByteSize(std::string_view text)
{
    const auto unitStart = text.find_first_not_of("0123456789");
    const auto value = parseCount(text.substr(0, unitStart));
    std::string_view unit =
            unitStart == std::string_view::npos ? std::string_view() : text.substr(unitStart);
    if (!unit.empty() && unit.front() == ' ')
        unit.remove_prefix(1);
    for (const auto &[name, shift] : Units) {
        if (value.has_value() && unit == name
            && *value <= std::numeric_limits<std::uint64_t>::max() >> shift)
            return *value << shift;
    }
    return std::nullopt;
}

} // namespace Nutmegrill
