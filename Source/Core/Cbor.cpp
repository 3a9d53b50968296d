#include "Core/Cbor.h"

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace Nutmegrill {

namespace {

using Json = nlohmann::json;

/// Messages nest four levels deep. The library parses recursively, so 60 KB of nested array headers
/// would overflow the stack.
constexpr std::size_t MaxDepth = 32;

/// Builds the value with the library's parser and rejects input nested deeper than MaxDepth. Works
/// in one pass: messages contain whole answers, and a second pass would need another copy.
class BoundedBuilder : public nlohmann::json_sax<Json>
{
public:
    explicit BoundedBuilder(Json &result) : builder(result, false) {}

    bool null() override { return this->builder.null(); }
    bool boolean(bool value) override { return this->builder.boolean(value); }
    bool number_integer(number_integer_t value) override
    {
        return this->builder.number_integer(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return this->builder.number_unsigned(value);
    }
    bool number_float(number_float_t value, const string_t &text) override
    {
        return this->builder.number_float(value, text);
    }
    bool string(string_t &value) override { return this->builder.string(value); }
    bool binary(binary_t &value) override { return this->builder.binary(value); }
    bool key(string_t &value) override { return this->builder.key(value); }
    bool start_object(std::size_t elements) override
    {
        return ++this->depth <= MaxDepth && this->builder.start_object(elements);
    }
    bool start_array(std::size_t elements) override
    {
        return ++this->depth <= MaxDepth && this->builder.start_array(elements);
    }
    bool end_object() override
    {
        --this->depth;
        return this->builder.end_object();
    }
    bool end_array() override
    {
        --this->depth;
        return this->builder.end_array();
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const Json::exception & /*error*/) override
    {
        return false;
    }

private:
    nlohmann::detail::json_sax_dom_parser<Json> builder;
    std::size_t depth = 0;
};

Json parse(std::string_view bytes, Json::input_format_t format)
{
    Json result;
    BoundedBuilder builder(result);
    try {
        if (Json::sax_parse(bytes.begin(), bytes.end(), &builder, format))
            return result;
    } catch (const Json::exception &) {
        // Thrown for a length that exceeds any memory.
    }
    return Json(Json::value_t::discarded);
}

} // namespace

nlohmann::json parseCbor(std::string_view bytes)
{
    return parse(bytes, Json::input_format_t::cbor);
}

nlohmann::json parseJson(std::string_view text)
{
    return parse(text, Json::input_format_t::json);
}

} // namespace Nutmegrill
