#pragma once

#include <string_view>

namespace Nutmegrill {

/// The grammar of the lines of an HTTP/1.1 response (RFC 9112), which http-parser reads more
/// leniently. All functions take a line without its end. Of a line that is not complete they check
/// what has arrived, so that other protocols are detected without a line end.
namespace ResponseLine {

/// "HTTP/1.", a digit, a status from 100 to 599 and a reason phrase. The blank before an empty
/// reason phrase may be missing.
bool isStatus(std::string_view line, bool isComplete);

/// A name without blanks, a colon and a value without control bytes.
bool isField(std::string_view line, bool isComplete);

/// Further text of the value of the field before: begins with a blank or a tab.
bool isContinuation(std::string_view line);

/// A hexadecimal number and extensions behind a semicolon. Blanks may follow the number.
bool isChunkSize(std::string_view line, bool isComplete);

} // namespace ResponseLine

} // namespace Nutmegrill
