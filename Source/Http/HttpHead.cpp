#include "Http/HttpHead.h"

#include <algorithm>
#include <array>

namespace Nutmegrill {

namespace {

char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLower(a) == toLower(b); });
}

const std::string *HttpHead::find(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (equalsIgnoringCase(key, name))
            return &value;
    }
    return nullptr;
}

bool isHopByHop(std::string_view name, std::string_view connectionValue)
{
    static constexpr std::array<std::string_view, 10> Names = {
            "connection",         "keep-alive", "proxy-connection",
            "proxy-authenticate", "te",         "trailer",
            "transfer-encoding",  "upgrade",    "expect",
            "proxy-authorization"};
    if (std::any_of(Names.begin(), Names.end(),
                    [&](std::string_view hopByHop) { return equalsIgnoringCase(hopByHop, name); }))
        return true;
    while (!connectionValue.empty()) {
        const auto comma = connectionValue.find(',');
        if (equalsIgnoringCase(trimmed(connectionValue.substr(0, comma)), name))
            return true;
        connectionValue = comma == std::string_view::npos ? std::string_view()
                                                          : connectionValue.substr(comma + 1);
    }
    return false;
}

} // namespace Nutmegrill
