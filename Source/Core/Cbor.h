#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

/// Parses CBOR received from another process. Returns a discarded value for malformed input, for a
/// length that exceeds any memory and for input that is nested too deeply.
nlohmann::json parseCbor(std::string_view bytes);

/// The same for JSON text that another process wrote.
nlohmann::json parseJson(std::string_view text);

} // namespace Nutmegrill
