#include "Config/DeclaredObject.h"

namespace Nutmegrill {

int DeclaredObject::lineOf(const std::string &field, const std::string &item) const
{
    for (const DeclaredValue &candidate : this->fields.children) {
        if (candidate.key != field)
            continue;
        for (const DeclaredValue &child : candidate.children) {
            if (child.text == item)
                return child.line;
            for (const DeclaredValue &member : child.children) {
                if (member.key == "name" && member.text == item)
                    return member.line;
            }
        }
        return candidate.line;
    }
    return this->line;
}

} // namespace Nutmegrill
