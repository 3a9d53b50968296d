#pragma once

#include "Http/HttpHead.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace Nutmegrill {

/// Incremental parser of one direction of an HTTP/1.1 connection, on the library http-parser. It
/// stops at the end of each message, so that the owner decides what the bytes after it are.
class HttpParser
{
public:
    enum class Kind { Request, Response };

    enum class State {
        Idle,     ///< no byte of a message was read since the last one
        Head,     ///< in the middle of the start line and the headers
        Body,     ///< the head is complete, the message is not
        Complete, ///< a message ended; call next() to go on
        Failed    ///< the bytes are not HTTP/1.1, or a limit was exceeded
    };

    class Observer
    {
    public:
        virtual ~Observer() = default;
        virtual void headParsed(HttpHead &&head) = 0;
        virtual void bodyParsed(std::string_view data) = 0;
    };

    HttpParser(Kind kind, Observer &observer);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Parses up to the end of the message. Returns how many bytes were used.
    std::size_t feed(std::string_view data);

    /// The connection ended. Returns whether that completes the message in progress.
    bool finish();

    /// Makes the parser ready for the next message.
    void next();

    State state() const;
    /// The head was larger than headerLimit().
    bool isHeadTooLarge() const;

    /// Largest head in bytes; one limit for the process, because the library keeps it globally.
    static void setHeaderLimit(std::size_t bytes);

private:
    struct Parser;
    std::unique_ptr<Parser> parser;
};

} // namespace Nutmegrill
