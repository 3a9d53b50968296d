#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Divides the bytes of a response into the pieces that http-parser gets, and checks those that
/// http-parser reads more leniently than the grammar of HTTP/1.1. The status line, the fields and
/// the sizes of chunks are passed on one whole line at a time.
class ResponseFraming
{
public:
    /// Longest head. Answers of the known services have a few fields; a faulty server may send a
    /// head without end.
    static constexpr std::uint32_t MaxHeadBytes = 64U << 10U;

    struct Piece
    {
        /// Bytes of the input that are done with.
        std::size_t used = 0;
        /// What http-parser gets: the line that has become complete, data of a chunk, or nothing.
        /// Valid until the next call.
        std::string_view bytes;
    };

    /// Takes the next piece from \a data; nullopt if it breaks the grammar. Not for bodies without
    /// chunks.
    std::optional<Piece> take(std::string_view data);

    /// Whether the rest of the response is a body without chunks, which needs no check.
    bool isInPlainBody() const { return this->part == Part::PlainBody; }

    /// The head has ended.
    void headEnded(bool isChunked);
    /// The size of a chunk was read; 0 announces the trailers.
    void chunkBegan(std::uint64_t size);

    /// Prepares for the next response.
    void reset();

    /// What take() found to break the grammar, for the log.
    std::string_view fault() const { return PartNames[static_cast<std::size_t>(this->part)]; }

private:
    enum class Part { StatusLine, Fields, PlainBody, ChunkSize, ChunkData, ChunkEnd, Trailers };
    static constexpr std::array<std::string_view, 7> PartNames = {
            "status line", "field", "body", "chunk size", "chunk", "end of a chunk", "trailer"};

    std::optional<Piece> takeLine(std::string_view data);
    std::optional<Piece> takeChunkData(std::string_view data);
    std::optional<Piece> takeChunkEnd(std::string_view data);
    bool isLineValid(std::string_view text, bool isComplete) const;
    /// Removes what http-parser would take for a part of a value, and notes which line comes next.
    void lineEnded(std::size_t textLength);

    Part part = Part::StatusLine;
    /// The present line, as far as it has arrived.
    std::string line;
    /// The last piece that was a line.
    std::string completeLine;
    /// The present head or trailer has a field, which the next line may continue.
    bool hasField = false;
    /// Bytes of the present chunk that have not arrived.
    std::uint64_t chunkBytesLeft = 0;
};

} // namespace Nutmegrill
