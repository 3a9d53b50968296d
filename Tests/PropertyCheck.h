#pragma once

#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

namespace Nutmegrill {

/// Sequence of choices that drives one run of a property test. An exhausted script returns 0, so 0
/// should select the simplest case: shrinking moves towards it.
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

/// Checks \a property, a function from ChoiceScript & to a failure text that is empty when the
/// property holds, on random scripts with a fixed seed. Returns an empty string, or a report with
/// the smallest failing script.
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
