#include "Http/ResponseFraming.h"

#include "Http/ResponseLine.h"

#include <utility>

#include <http_parser.h>

namespace Nutmegrill {

namespace {

/// Longest line. A longer one is beyond the limit of http-parser for a whole head as well.
constexpr std::size_t MaxLineBytes = HTTP_MAX_HEADER_SIZE;

} // namespace

std::optional<ResponseFraming::Piece> ResponseFraming::take(std::string_view data)
{
    const std::size_t end = data.find('\n');
    const bool isComplete = end != std::string_view::npos;
    const std::size_t used = isComplete ? end + 1 : data.size();
    const bool isBegin = this->line.empty();
    this->line.append(data.substr(0, used));
    // Of an incomplete line, a carriage return at its end may be a part of the line end.
    std::string_view text = this->line;
    if (isComplete)
        text.remove_suffix(1);
    if (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    // An incomplete line is checked once, so that other protocols fail without a line end.
    if (this->line.size() > MaxLineBytes
        || ((isComplete || isBegin) && !this->isLineValid(text, isComplete)))
        return std::nullopt;
    if (!isComplete)
        return Piece{used, {}};
    this->lineEnded(text.size());
    return Piece{used, this->completeLine};
}

bool ResponseFraming::isLineValid(std::string_view text, bool isComplete) const
{
    // An empty line ends the fields. Those before a status line are ignored.
    if (text.empty())
        return true;
    if (this->part == Part::StatusLine)
        return ResponseLine::isStatus(text, isComplete);
    return ResponseLine::isField(text, isComplete)
           || (this->hasField && ResponseLine::isContinuation(text));
}

void ResponseFraming::lineEnded(std::size_t textLength)
{
    this->completeLine = std::exchange(this->line, {});
    if (textLength == 0)
        return;
    if (this->part == Part::StatusLine) {
        this->part = Part::Fields;
        return;
    }
    this->hasField = true;
    // Blanks at the end of a line belong to no value. http-parser keeps them.
    const std::string_view text = std::string_view(this->completeLine).substr(0, textLength);
    const auto last = text.find_last_not_of(" \t");
    if (last == std::string_view::npos)
        this->completeLine.clear();
    else
        this->completeLine.erase(last + 1, textLength - last - 1);
}

void ResponseFraming::reset()
{
    this->part = Part::StatusLine;
    this->line.clear();
    this->hasField = false;
}

} // namespace Nutmegrill
