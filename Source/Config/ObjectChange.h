#pragma once

#include <string>
#include <vector>

namespace Nutmegrill {

/// Difference of one object between two configurations.
struct ObjectChange
{
    enum class Action {
        Added,
        Changed,  ///< takes nothing away from callers or operators
        Narrowed, ///< at least one field allows less than before
        Removed
    };

    struct Field
    {
        std::string name;
        /// JSON texts.
        std::string before;
        std::string after;
        bool isNarrowed = false;
    };

    Action action = Action::Changed;
    std::string kind;
    std::string name;
    /// Fields that differ; empty for an added or removed object.
    std::vector<Field> fields;

    /// Whether the change takes something away.
    bool takesAway() const
    {
        return this->action == Action::Narrowed || this->action == Action::Removed;
    }
};

} // namespace Nutmegrill
