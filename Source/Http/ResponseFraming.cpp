#include "Http/ResponseFraming.h"

#include "Http/ResponseLine.h"

#include <algorithm>
#include <utility>

namespace Nutmegrill {

namespace {

/// Bytes of a line that are checked each time that more of them arrive.
constexpr std::size_t MaxBeginBytes = 256;
/// End of the data of a chunk.
constexpr std::string_view ChunkEndText = "\r\n";

} // namespace

std::optional<ResponseFraming::Piece> ResponseFraming::take(std::string_view data)
{
    switch (this->part) {
    case Part::ChunkData:
        return this->takeChunkData(data);
    case Part::ChunkEnd:
        return this->takeChunkEnd(data);
    default:
        return this->takeLine(data);
    }
}

std::optional<ResponseFraming::Piece> ResponseFraming::takeChunkData(std::string_view data)
{
    const std::string_view bytes = data.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(
                                                          this->chunkBytesLeft, data.size())));
    this->chunkBytesLeft -= bytes.size();
    if (this->chunkBytesLeft == 0)
        this->part = Part::ChunkEnd;
    return Piece{bytes.size(), bytes};
}

std::optional<ResponseFraming::Piece> ResponseFraming::takeChunkEnd(std::string_view data)
{
    const std::string_view expected = ChunkEndText.substr(this->line.size());
    const std::string_view found = data.substr(0, expected.size());
    if (found != expected.substr(0, found.size()))
        return std::nullopt;
    this->line.append(found);
    if (this->line.size() < ChunkEndText.size())
        return Piece{found.size(), {}};
    this->line.clear();
    this->part = Part::ChunkSize;
    return Piece{found.size(), ChunkEndText};
}

std::optional<ResponseFraming::Piece> ResponseFraming::takeLine(std::string_view data)
{
    const std::size_t end = data.find('\n');
    const bool isComplete = end != std::string_view::npos;
    const std::size_t used = isComplete ? end + 1 : data.size();
    this->line.append(data.substr(0, used));
    // Of an incomplete line, a carriage return at its end may be a part of the line end.
    std::string_view text = this->line;
    if (isComplete)
        text.remove_suffix(1);
    if (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    // The beginning of a line is checked before its end, so that other protocols fail without one.
    if (this->line.size() > MaxHeadBytes
        || ((isComplete || this->line.size() <= MaxBeginBytes)
            && !this->isLineValid(text, isComplete)))
        return std::nullopt;
    // http-parser finds the end of this line by its carriage return.
    if (this->part == Part::ChunkSize && isComplete && this->line.size() == text.size() + 1)
        return std::nullopt;
    if (!isComplete)
        return Piece{used, {}};
    this->lineEnded(text.size());
    return Piece{used, this->completeLine};
}

bool ResponseFraming::isLineValid(std::string_view text, bool isComplete) const
{
    if (this->part == Part::ChunkSize)
        return ResponseLine::isChunkSize(text, isComplete);
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
    std::swap(this->completeLine, this->line);
    this->line.clear();
    if (textLength == 0 || this->part == Part::ChunkSize)
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

void ResponseFraming::headEnded(bool isChunked)
{
    this->part = isChunked ? Part::ChunkSize : Part::PlainBody;
}

void ResponseFraming::chunkBegan(std::uint64_t size)
{
    this->part = size > 0 ? Part::ChunkData : Part::Trailers;
    this->chunkBytesLeft = size;
    this->hasField = false;
}

void ResponseFraming::reset()
{
    this->part = Part::StatusLine;
    this->line.clear();
    this->hasField = false;
}

} // namespace Nutmegrill
