#include "Programs/Settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include <boost/program_options.hpp>
#include <event2/util.h>
#include <sys/socket.h>

namespace Nutmegrill {

namespace options = boost::program_options;

namespace {

constexpr const char *Version = "0.1.0";
const std::string environmentPrefix = "NUTMEGRILL_";

std::string flagOfVariable(const std::string &variable)
{
    if (variable.compare(0, environmentPrefix.size(), environmentPrefix) != 0)
        return {};
    std::string flag = variable.substr(environmentPrefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char character) {
        return character == '_' ? '-' : static_cast<char>(std::tolower(character));
    });
    return flag;
}

bool isAddress(const std::string &text)
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    return text.find(':') != std::string::npos
           && evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&storage),
                                         &length)
                      == 0;
}

bool isNumber(const std::string &text)
{
    static constexpr std::size_t MaxDigits = 10;
    return !text.empty() && text.size() <= MaxDigits
           && std::all_of(text.begin(), text.end(),
                          [](unsigned char character) { return std::isdigit(character) != 0; })
           && std::stoull(text) <= std::numeric_limits<std::uint32_t>::max();
}

/// A finite number without sign that fills the whole text; independent of the locale.
std::optional<double> readDecimal(const std::string &text)
{
    double number = 0;
    const char *const end = text.data() + text.size();
    const auto [read, error] = std::from_chars(text.data(), end, number);
    const bool isWhole = error == std::errc() && read == end && !text.empty();
    return isWhole && !std::signbit(number) && number <= std::numeric_limits<std::uint32_t>::max()
                   ? std::optional(number)
                   : std::nullopt;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

/// Returns nullopt when the file cannot be read.
std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream.is_open())
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

struct FormatRule
{
    bool (*accepts)(const std::string &text);
    const char *description;
};

// In the order of Settings::Format.
constexpr FormatRule Rules[] = {
        {[](const std::string &) { return true; }, "a text"},
        {[](const std::string &) { return true; }, "a text"},
        {isAddress, "of the form IP:port"},
        {isAddress, "of the form IP:port"},
        {isNumber, "a number from 0 to 4294967295"},
        {[](const std::string &text) { return text.empty() || isNumber(text); },
         "a number from 0 to 4294967295, or empty"},
        {[](const std::string &text) { return isNumber(text) && std::stoull(text) > 0; },
         "a number from 1 to 4294967295"},
        {[](const std::string &text) { return readDecimal(text).has_value(); },
         "a number such as 0.2"},
        {[](const std::string &text) { return readDecimal(text).value_or(0) > 0; },
         "a number above 0 such as 7.5"},
        {[](const std::string &text) { return text == "yes" || text == "no"; }, "yes or no"}};

} // namespace

struct Settings::Parser
{
    options::options_description description;
    std::map<std::string, Format> formats;
    std::vector<std::string> required;
    std::string summary;
};

Settings::Settings(std::string program, std::string summary)
    : parser(std::make_unique<Parser>()), program(std::move(program))
{
    this->parser->description.add_options()("help", "show this help")("version",
                                                                      "show the version");
    this->parser->summary = std::move(summary);
}

Settings::~Settings() = default;

void Settings::require(const std::string &name, Format format, const std::string &help)
{
    this->parser->description.add_options()(name.c_str(), options::value<std::string>(),
                                            help.c_str());
    this->parser->formats[name] = format;
    this->parser->required.push_back(name);
}

void Settings::allow(const std::string &name, Format format, const std::string &defaultValue,
                     const std::string &help)
{
    this->parser->description.add_options()(
            name.c_str(), options::value<std::string>()->default_value(defaultValue), help.c_str());
    this->parser->formats[name] = format;
}

void Settings::allowFile()
{
    this->allow("settings", Format::Text, "",
                "file with further settings, a line `name = value` each; read again on SIGHUP and "
                "when it has changed");
}

bool Settings::read(int argc, const char *const *argv)
{
    this->arguments.assign(argv + 1, argv + argc);
    std::vector<std::string> errors;
    if (!this->collectValues(this->values, errors))
        return false;
    if (!this->arePositionalArgumentsAllowed) {
        for (const std::string &word : this->positional)
            errors.push_back("unexpected word '" + word + "'");
    }
    if (errors.empty())
        this->checkValues(this->values, errors);
    for (const std::string &error : errors)
        std::cerr << this->program << ": " << error << "\n";
    if (!errors.empty())
        this->code = ExitUsage;
    return errors.empty();
}

bool Settings::collectValues(Values &collected, std::vector<std::string> &errors)
{
    options::variables_map parsed;
    options::options_description all;
    all.add(this->parser->description);
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description words;
    words.add("words", -1);
    try {
        options::store(
                options::command_line_parser(this->arguments).options(all).positional(words).run(),
                parsed);
        const auto knownFlag = [this](const std::string &variable) {
            const std::string flag = flagOfVariable(variable);
            return this->parser->formats.count(flag) != 0 ? flag : std::string();
        };
        options::store(options::parse_environment(this->parser->description, knownFlag), parsed);
        if (parsed.count("settings") != 0 && !parsed["settings"].as<std::string>().empty()) {
            const std::string path = parsed["settings"].as<std::string>();
            this->fileText = readFile(path);
            if (this->fileText) {
                std::istringstream stream(*this->fileText);
                auto lines = options::parse_config_file(stream, this->parser->description, true);
                // A line without a value keeps the default, so that a template may refer to a field
                // that a deployment does not have.
                std::erase_if(lines.options, [](const auto &line) {
                    return line.value.empty() || line.value.front().empty();
                });
                options::store(lines, parsed);
            } else {
                errors.push_back("--settings: '" + path + "' cannot be read");
            }
        }
    } catch (const options::error &error) {
        errors.emplace_back(error.what());
    }
    if (parsed.count("help") != 0) {
        std::cout << this->program << ": " << this->parser->summary << "\n"
                  << this->parser->description
                  << "Every flag may also be given as environment variable " << environmentPrefix
                  << "<FLAG>.\n";
        return false;
    }
    if (parsed.count("version") != 0) {
        std::cout << this->program << " " << Version << "\n";
        return false;
    }
    for (const auto &[name, format] : this->parser->formats) {
        if (parsed.count(name) != 0)
            collected[name] = parsed[name].as<std::string>();
    }
    if (parsed.count("words") != 0)
        this->positional = parsed["words"].as<std::vector<std::string>>();
    return true;
}

Settings::Reload Settings::reload()
{
    Reload outcome;
    const auto path = this->values.find("settings");
    if (path == this->values.end() || path->second.empty())
        return outcome;
    if (readFile(path->second) == this->fileText)
        return outcome;
    Values fresh;
    this->collectValues(fresh, outcome.errors);
    if (outcome.errors.empty())
        this->checkValues(fresh, outcome.errors);
    if (!outcome.errors.empty())
        return outcome;
    for (const auto &[name, value] : fresh) {
        const auto old = this->values.find(name);
        if (old == this->values.end() || old->second != value)
            outcome.changed.push_back(name);
    }
    this->values = std::move(fresh);
    return outcome;
}

std::string Settings::Reload::text() const
{
    std::string text = "changed=";
    for (const std::string &name : this->changed)
        text += (text.back() == '=' ? "" : ",") + name;
    if (this->changed.empty())
        text += "none";
    for (const std::string &error : this->errors)
        text += " fault=\"" + error + "\"";
    return text;
}

void Settings::checkValues(const Values &checked, std::vector<std::string> &errors) const
{
    for (const std::string &name : this->parser->required) {
        const auto found = checked.find(name);
        if (found == checked.end() || found->second.empty())
            errors.push_back("--" + name + " is missing");
    }
    for (const auto &[name, format] : this->parser->formats) {
        const auto found = checked.find(name);
        if (found == checked.end())
            continue;
        const std::string &value = found->second;
        // Texts and addresses may be empty; a missing required one is reported above.
        if (value.empty() && format <= Format::AddressList)
            continue;
        const FormatRule &rule = Rules[static_cast<std::size_t>(format)];
        for (const std::string &part :
             format == Format::AddressList ? splitList(value) : std::vector{value}) {
            if (!rule.accepts(part))
                errors.push_back("--" + name + ": '" + part + "' is not " + rule.description);
        }
    }
}

const std::string &Settings::text(const std::string &name) const
{
    return this->values.at(name);
}

std::uint64_t Settings::number(const std::string &name) const
{
    return std::stoull(this->text(name));
}

double Settings::decimal(const std::string &name) const
{
    return readDecimal(this->text(name)).value_or(0);
}

std::vector<std::string> Settings::list(const std::string &name) const
{
    return splitList(this->text(name));
}

} // namespace Nutmegrill
