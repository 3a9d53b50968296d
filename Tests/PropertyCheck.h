#pragma once

#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

namespace Nutmegrill {

/// Choices of one property run. An exhausted script chooses 0, which shrinking makes the plain
/// case.
class ChoiceScript
{
public:
    explicit ChoiceScript(std::vector<int> choices) : choices(std::move(choices)) {}

    std::size_t below(std::size_t bound)
    {
        if (this->position >= this->choices.size())
            return 0;
        return static_cast<std::size_t>(this->choices[this->position++]) % bound;
    }

    bool isExhausted() const { return this->position >= this->choices.size(); }

private:
    std::vector<int> choices;
    std::size_t position = 0;
};

/// Runs \a property (a function from ChoiceScript & to a failure text, empty when it holds) with a
/// fixed seed. Returns an empty string, or the report with the smallest failing script.
template <typename Property>
std::string checkScripts(const std::string &name, std::size_t length, Property property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = 20260901;
    params.maxSuccess = 300;
    const auto result = rc::detail::checkTestable(
            [length, &property] {
                ChoiceScript script(
                        *rc::gen::container<std::vector<int>>(length, rc::gen::inRange(0, 840)));
                if (const std::string failure = property(script); !failure.empty())
                    RC_FAIL(failure);
            },
            metadata, params);
    if (result.template is<rc::detail::SuccessResult>())
        return {};
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
}

} // namespace Nutmegrill
