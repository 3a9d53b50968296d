#include "Core/Cbor.h"

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

/// The messages of this project have four levels. The library reads nested values by recursion, so
/// 60 KB of opening bytes would use up the stack.
constexpr std::size_t MaxDepth = 32;

/// Follows the events of the library's reader and keeps nothing but the depth.
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override { return true; }
    bool string(string_t & /*value*/) override { return true; }
    bool binary(binary_t & /*value*/) override { return true; }
    bool key(string_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return ++this->depth <= MaxDepth; }
    bool start_array(std::size_t /*elements*/) override { return ++this->depth <= MaxDepth; }
    bool end_object() override { return this->leave(); }
    bool end_array() override { return this->leave(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool leave()
    {
        --this->depth;
        return true;
    }

    std::size_t depth = 0;
};

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    DepthCheck check;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor))
        return Json(Json::value_t::discarded);
    try {
        return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const Json::exception &) {
        // Thrown, whatever the flags say, for a length that no memory could hold.
        return Json(Json::value_t::discarded);
    }
}

} // namespace Nutmegrill
