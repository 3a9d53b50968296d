#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Divides the bytes of a response into the pieces that http-parser gets, and checks those that
/// http-parser reads more leniently than the grammar of HTTP/1.1. The status line and the fields
/// are passed on one whole line at a time.
class ResponseFraming
{
public:
    struct Piece
    {
        /// Bytes of the input that are done with.
        std::size_t used = 0;
        /// What http-parser gets: the line that has become complete, or nothing. Valid until the
        /// next call.
        std::string_view bytes;
    };

    /// Takes the next piece from \a data; nullopt if it breaks the grammar. Not for bodies.
    std::optional<Piece> take(std::string_view data);

    /// Whether body bytes come next, which need no check.
    bool isInBody() const { return this->part == Part::Body; }

    /// The head has ended.
    void headEnded() { this->part = Part::Body; }

    /// Prepares for the next response.
    void reset();

private:
    enum class Part { StatusLine, Fields, Body };

    bool isLineValid(std::string_view text, bool isComplete) const;
    /// Removes what http-parser would take for a part of a value, and notes which line comes next.
    void lineEnded(std::size_t textLength);

    Part part = Part::StatusLine;
    /// The present line, as far as it has arrived.
    std::string line;
    /// The last piece that was a line.
    std::string completeLine;
    /// The present head has a field, which the next line may continue.
    bool hasField = false;
};

} // namespace Nutmegrill
