#include "Config/FieldReader.h"

#include "Config/ByteSize.h"
#include "Config/NearestName.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Nutmegrill {

using Code = DeclarationError::Code;

namespace {

std::string quote(std::string_view text)
{
    return "`" + std::string(text) + "`";
}

std::string joined(const std::vector<std::string> &names)
{
    std::string all;
    for (const std::string &name : names)
        all += (all.empty() ? "" : ", ") + name;
    return all;
}

} // namespace

FieldReader::FieldReader(const DeclaredObject &object, const DeclaredValue &map,
                         std::vector<DeclarationError> &errors)
    : object(object), map(map), errors(errors)
{
    std::set<std::string> seen;
    for (const DeclaredValue &field : map.children) {
        if (!seen.insert(field.key).second)
            this->report(Code::DuplicateField, field.line,
                         "field " + quote(field.key) + " is declared twice", "keep one of the two");
    }
}

void FieldReader::report(Code code, int line, std::string message, std::string fix)
{
    this->errors.push_back({code, this->object.file, line, this->object.label(), std::move(message),
                            std::move(fix)});
}

int FieldReader::lineOf(std::string_view name) const
{
    for (const DeclaredValue &field : this->map.children) {
        if (field.key == name)
            return field.line;
    }
    return this->map.line;
}

const DeclaredValue *FieldReader::find(std::string_view name, Presence presence)
{
    this->known.emplace_back(name);
    for (const DeclaredValue &field : this->map.children) {
        if (field.key == name)
            return &field;
    }
    if (presence == Presence::Required)
        this->report(Code::MissingField, this->map.line, "field " + quote(name) + " is missing",
                     "add " + quote(std::string(name) + ": ..."));
    return nullptr;
}

const DeclaredValue *FieldReader::scalar(std::string_view name, Presence presence)
{
    const DeclaredValue *field = this->find(name, presence);
    if (field == nullptr || (field->shape == DeclaredValue::Shape::Scalar && !field->text.empty()))
        return field;
    this->report(Code::WrongType, field->line, "field " + quote(name) + " is not a single value",
                 "write one value after the colon, or remove the field");
    return nullptr;
}

std::string FieldReader::text(std::string_view name, Presence presence)
{
    const DeclaredValue *field = this->scalar(name, presence);
    return field == nullptr ? std::string() : field->text;
}

std::string FieldReader::choice(std::string_view name, const std::vector<std::string> &choices,
                                Presence presence)
{
    const DeclaredValue *field = this->scalar(name, presence);
    if (field == nullptr)
        return {};
    if (std::find(choices.begin(), choices.end(), field->text) != choices.end())
        return field->text;
    const std::string near = nearestName(field->text, choices);
    this->report(Code::OutOfRange, field->line,
                 "field " + quote(name) + " has the unknown value " + quote(field->text),
                 near.empty() ? "write one of " + joined(choices) : "write " + quote(near));
    return {};
}

std::uint64_t FieldReader::count(std::string_view name, std::uint64_t fallback, Range range,
                                 Presence presence)
{
    const DeclaredValue *field = this->scalar(name, presence);
    if (field == nullptr)
        return fallback;
    const std::string bounds = "write a whole number from " + std::to_string(range.min) + " to "
                               + std::to_string(range.max);
    const auto value = parseCount(field->text);
    if (!value.has_value()) {
        this->report(Code::WrongType, field->line,
                     "field " + quote(name) + " is not a whole number: " + quote(field->text),
                     bounds);
        return fallback;
    }
    if (*value < range.min || *value > range.max) {
        this->report(Code::OutOfRange, field->line,
                     "field " + quote(name) + " is out of range: " + field->text, bounds);
        return fallback;
    }
    return *value;
}

std::uint64_t FieldReader::bytes(std::string_view name, std::uint64_t fallback, Presence presence)
{
    const DeclaredValue *field = this->scalar(name, presence);
    if (field == nullptr)
        return fallback;
    if (const auto value = parseByteSize(field->text))
        return *value;
    this->report(Code::WrongType, field->line,
                 "field " + quote(name) + " is not a size in bytes: " + quote(field->text),
                 "write a whole number with B, KiB, MiB, GiB or TiB, for instance `8GiB`");
    return fallback;
}

bool FieldReader::flag(std::string_view name, bool fallback)
{
    const DeclaredValue *field = this->scalar(name, Presence::Optional);
    if (field == nullptr || field->text == "true" || field->text == "false")
        return field == nullptr ? fallback : field->text == "true";
    this->report(Code::WrongType, field->line,
                 "field " + quote(name) + " is neither true nor false: " + quote(field->text),
                 "write `true` or `false`");
    return fallback;
}

const std::vector<DeclaredValue> &FieldReader::list(std::string_view name, Presence presence)
{
    static const std::vector<DeclaredValue> nothing;
    const DeclaredValue *field = this->find(name, presence);
    if (field == nullptr)
        return nothing;
    if (field->shape != DeclaredValue::Shape::List) {
        this->report(Code::WrongType, field->line, "field " + quote(name) + " is not a list",
                     "write `[first, second]` or one line with `-` for each item");
        return nothing;
    }
    if (field->children.empty() && presence == Presence::Required)
        this->report(Code::MissingField, field->line, "list " + quote(name) + " is empty",
                     "add at least one item");
    return field->children;
}

std::vector<std::string> FieldReader::names(std::string_view name, Presence presence)
{
    std::vector<std::string> result;
    for (const DeclaredValue &item : this->list(name, presence)) {
        if (item.shape != DeclaredValue::Shape::Scalar || item.text.empty())
            this->report(Code::WrongType, item.line, "list " + quote(name) + " holds a non-name",
                         "write the name of an object");
        else if (std::find(result.begin(), result.end(), item.text) != result.end())
            this->report(Code::DuplicateValue, item.line,
                         "list " + quote(name) + " names " + quote(item.text) + " twice",
                         "keep one of the two");
        else
            result.push_back(item.text);
    }
    return result;
}

void FieldReader::finish()
{
    for (const DeclaredValue &field : this->map.children) {
        if (std::find(this->known.begin(), this->known.end(), field.key) != this->known.end())
            continue;
        const std::string near = nearestName(field.key, this->known);
        this->report(Code::UnknownField, field.line, "unknown field " + quote(field.key),
                     near.empty() ? "remove it; known fields: " + joined(this->known)
                                  : "did you mean " + quote(near) + "?");
    }
}

} // namespace Nutmegrill
