#pragma once

#include <string>
#include <vector>

namespace Nutmegrill {

/// A YAML value with its line number, independent of the YAML library.
struct DeclaredValue
{
    enum class Shape { Null, Scalar, List, Map };

    Shape shape = Shape::Null;
    /// Name of the field when the value is a member of a map.
    std::string key;
    /// Text of a scalar.
    std::string text;
    /// Items of a list or members of a map, in the order of the file.
    std::vector<DeclaredValue> children;
    int line = 0;
};

} // namespace Nutmegrill
