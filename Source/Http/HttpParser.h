#pragma once

#include "Http/HttpHead.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace Nutmegrill {

/// Incremental parser for one direction of an HTTP/1.1 connection, based on http-parser. It stops
/// at the end of each message; the owner decides how to treat the bytes that follow.
class HttpParser
{
public:
    enum class Kind { Request, Response };

    enum class State {
        Idle,     ///< no byte of the next message has been read
        Head,     ///< reading the start line and the headers
        Body,     ///< the head is complete, the body is not
        Complete, ///< a message has ended; next() continues
        Failed    ///< malformed input, or the head is too large
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

    /// Parses up to the end of the message. Returns the number of bytes consumed.
    std::size_t feed(std::string_view data);

    /// Handles the end of the connection. Returns whether that completes the current message.
    bool finish();

    /// Resets the parser for the next message.
    void next();

    /// Whether the responses from now on answer a HEAD request, so that they have no body.
    void setAnswersHead(bool answersHead);

    State state() const;
    /// Which part of a response could not be read, for the log; empty unless the state is Failed.
    std::string_view fault() const;
    /// Whether parsing failed because the head exceeds its limit.
    bool isHeadTooLarge() const;

    /// Sets the maximum size of the head of a request, for the whole process. That of a response
    /// has a limit of its own.
    static void setRequestHeadLimit(std::size_t bytes);

private:
    struct Parser;
    std::unique_ptr<Parser> parser;
};

} // namespace Nutmegrill
