#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace Nutmegrill {

/// Reads CBOR of another process. Bytes that are no CBOR, that name a length which no memory could
/// hold, or that are nested too deeply give a discarded value.
nlohmann::json parseCbor(std::string_view bytes);

} // namespace Nutmegrill
