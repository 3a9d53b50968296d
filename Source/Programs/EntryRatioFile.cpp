#include "Programs/EntryRatioFile.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <utility>

namespace Nutmegrill {

namespace {

constexpr const char *Blanks = " \t\r";

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(Blanks);
    return begin == std::string::npos
                   ? std::string()
                   : text.substr(begin, text.find_last_not_of(Blanks) - begin + 1);
}

std::optional<double> readNumber(const std::string &text)
{
    double number = 0;
    const char *const end = text.data() + text.size();
    const auto [read, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && read == end ? std::optional(number) : std::nullopt;
}

} // namespace

bool EntryRatioFile::read(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream.is_open())
        return false;
    this->file = path;
    const std::pair<const char *, std::optional<double> EntryRatios::*> names[] = {
            {"retry-ratio", &EntryRatios::retryRatio}, {"hedge-ratio", &EntryRatios::hedgeRatio}};
    int number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        const std::string text = line.substr(0, line.find('#'));
        const auto sign = text.find('=');
        if (sign == std::string::npos)
            continue;
        const std::string name = trimmed(text.substr(0, sign));
        const std::string value = trimmed(text.substr(sign + 1));
        for (const auto &[known, member] : names) {
            // A line without a value keeps the default, as in Settings.
            if (name != known || value.empty())
                continue;
            this->lines[name] = number;
            this->values.*member = readNumber(value);
            if (!(this->values.*member))
                return false;
        }
    }
    return !stream.bad();
}

FindingLocator::Location EntryRatioFile::locate(const LintFinding &finding) const
{
    if (finding.kind != "EntrySettings")
        return this->otherObjects.locate(finding);
    const auto found = this->lines.find(finding.field);
    return {this->file, found == this->lines.end() ? 0 : found->second};
}

} // namespace Nutmegrill
