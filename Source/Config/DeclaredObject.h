#pragma once

#include "Config/DeclaredValue.h"

#include <string>

namespace Nutmegrill {

/// One YAML document that declares an object.
struct DeclaredObject
{
    std::string kind;
    std::string name;
    std::string file;
    int line = 0;
    /// All fields, `kind` and `name` included.
    DeclaredValue fields;

    std::string label() const
    {
        return (this->kind.empty() ? "object" : this->kind)
               + (this->name.empty() ? " without a name" : " " + this->name);
    }

    /// Line of \a item in the list \a field; otherwise of the field, otherwise of the object.
    int lineOf(const std::string &field, const std::string &item) const;
};

} // namespace Nutmegrill
