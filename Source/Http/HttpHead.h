#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Start line and headers of one HTTP/1.1 message, as they were received.
struct HttpHead
{
    using Headers = std::vector<std::pair<std::string, std::string>>;

    /// Of a request.
    std::string method;
    /// Path and query, byte for byte.
    std::string target;
    /// Of a response.
    int status = 0;
    std::string reason;

    Headers headers;
    /// The sender keeps the connection open after this message.
    bool keepAlive = true;
    /// The end of the body is marked by a length or by chunks, not by the end of the connection.
    bool isFramed = true;

    /// Value of the first header of that name, in any case of letters; null when there is none.
    const std::string *find(std::string_view name) const;
};

/// Compares ASCII text without regard to case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether the header concerns only one connection and is not passed on. \a connectionValue is the
/// value of the Connection header, which names further ones.
bool isHopByHop(std::string_view name, std::string_view connectionValue);

} // namespace Nutmegrill
