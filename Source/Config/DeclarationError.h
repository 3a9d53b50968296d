#pragma once

#include <string>
#include <tuple>

namespace Nutmegrill {

/// One error in the declarations, with its location and a suggested fix.
struct DeclarationError
{
    enum class Code {
        UnreadableFile,
        MalformedYaml,
        NotAnObject,
        NoObjects,
        UnknownKind,
        UnknownField,
        MissingField,
        DuplicateField,
        DuplicateObject,
        DuplicateValue,
        DanglingReference,
        WrongType,
        OutOfRange,
        Contradiction
    };

    Code code = Code::NotAnObject;
    std::string file;
    /// Counted from 1; 0 for an error of the whole file.
    int line = 0;
    /// Kind and name, for example `Service route-ledger`; empty when the object is unknown.
    std::string object;
    std::string message;
    std::string fix;

    bool operator==(const DeclarationError &) const = default;

    bool operator<(const DeclarationError &other) const
    {
        return std::tie(this->file, this->line, this->object, this->message, this->fix, this->code)
               < std::tie(other.file, other.line, other.object, other.message, other.fix,
                          other.code);
    }

    /// `file:line: object: message; fix: ...`
    std::string text() const
    {
        const std::string location = this->file + ":" + std::to_string(this->line) + ": ";
        const std::string subject = this->object.empty() ? std::string() : this->object + ": ";
        return location + subject + this->message + "; fix: " + this->fix;
    }
};

} // namespace Nutmegrill
