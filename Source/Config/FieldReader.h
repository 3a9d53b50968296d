#pragma once

#include "Config/DeclarationError.h"
#include "Config/DeclaredObject.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Nutmegrill {

/// Reads the fields of one map of an object. An invalid field is reported and keeps its default, so
/// that one pass finds all errors.
class FieldReader
{
public:
    enum class Presence { Optional, Required };

    struct Range
    {
        std::uint64_t min = 0;
        std::uint64_t max = UINT32_MAX;
    };

    FieldReader(const DeclaredObject &object, const DeclaredValue &map,
                std::vector<DeclarationError> &errors);

    /// Returns the field, or null when it is absent. Reports an absent required field.
    const DeclaredValue *find(std::string_view name, Presence presence = Presence::Optional);

    std::string text(std::string_view name, Presence presence = Presence::Optional);
    std::string choice(std::string_view name, const std::vector<std::string> &choices,
                       Presence presence = Presence::Optional);
    std::uint64_t count(std::string_view name, std::uint64_t fallback, Range range,
                        Presence presence = Presence::Optional);
    std::uint64_t bytes(std::string_view name, std::uint64_t fallback,
                        Presence presence = Presence::Optional);
    bool flag(std::string_view name, bool fallback);
    std::vector<std::string> names(std::string_view name, Presence presence = Presence::Required);
    /// The items of a list field; empty when it is absent or not a list.
    const std::vector<DeclaredValue> &list(std::string_view name,
                                           Presence presence = Presence::Optional);

    /// Reports every field that was not read, as unknown.
    void finish();

    void report(DeclarationError::Code code, int line, std::string message, std::string fix);

    /// Line of a field, or of the map when the field is absent.
    int lineOf(std::string_view name) const;

private:
    const DeclaredValue *scalar(std::string_view name, Presence presence);

    const DeclaredObject &object;
    const DeclaredValue &map;
    std::vector<DeclarationError> &errors;
    std::vector<std::string> known;
};

} // namespace Nutmegrill
