#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Nutmegrill {

/// Start line and headers of an HTTP/1.1 message, as received.
struct HttpHead
{
    using Headers = std::vector<std::pair<std::string, std::string>>;

    /// Requests only.
    std::string method;
    /// Request target as received: path and query, not decoded.
    std::string target;
    /// Responses only.
    int status = 0;
    std::string reason;

    Headers headers;
    /// The sender keeps the connection open after this message.
    bool keepAlive = true;
    /// The body is delimited by Content-Length or chunked encoding, not by the end of the
    /// connection.
    bool isFramed = true;

    /// Value of the first header with this name, ignoring case; null if there is none.
    const std::string *find(std::string_view name) const;
};

/// Compares ASCII text, ignoring case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether a header is hop-by-hop and must not be forwarded. \a connectionValue is the value of the
/// Connection header, which lists further hop-by-hop headers.
bool isHopByHop(std::string_view name, std::string_view connectionValue);

} // namespace Nutmegrill
