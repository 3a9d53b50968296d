#include "Http/ResponseLine.h"

#include <algorithm>
#include <cstddef>

namespace Nutmegrill {

namespace {

constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

bool isDigit(char letter)
{
    return letter >= '0' && letter <= '9';
}

bool isHexDigit(char letter)
{
    return isDigit(letter) || (letter >= 'a' && letter <= 'f') || (letter >= 'A' && letter <= 'F');
}

bool isTokenLetter(char letter)
{
    static constexpr std::string_view Special = "!#$%&'*+-.^_`|~";
    return isDigit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
           || Special.find(letter) != std::string_view::npos;
}

/// Printable ASCII, blanks, tabs and bytes above ASCII.
bool isText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return (byte < FirstPrintable && letter != '\t') || byte == Delete;
    });
}

} // namespace

bool ResponseLine::isStatus(std::string_view line, bool isComplete)
{
    // 'd' is a digit, 's' the first digit of a status.
    static constexpr std::string_view Form = "HTTP/1.d sdd";
    for (std::size_t at = 0; at < std::min(line.size(), Form.size()); ++at) {
        const char letter = line[at];
        const bool fits = Form[at] == 'd'   ? isDigit(letter)
                          : Form[at] == 's' ? letter >= '1' && letter <= '5'
                                            : letter == Form[at];
        if (!fits)
            return false;
    }
    if (line.size() <= Form.size())
        return !isComplete || line.size() == Form.size();
    return line[Form.size()] == ' ' && isText(line.substr(Form.size()));
}

bool ResponseLine::isField(std::string_view line, bool isComplete)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenLetter))
        return false;
    return colon == std::string_view::npos ? !isComplete : isText(line.substr(colon + 1));
}

bool ResponseLine::isContinuation(std::string_view line)
{
    return !line.empty() && (line.front() == ' ' || line.front() == '\t') && isText(line);
}

bool ResponseLine::isChunkSize(std::string_view line, bool isComplete)
{
    const auto *const end = std::find_if_not(line.begin(), line.end(), isHexDigit);
    const auto digits = static_cast<std::size_t>(end - line.begin());
    if (digits == 0)
        return line.empty() && !isComplete;
    const std::size_t next = line.find_first_not_of(" \t", digits);
    return next == std::string_view::npos || (line[next] == ';' && isText(line.substr(next)));
}

} // namespace Nutmegrill
