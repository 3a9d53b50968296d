#include "Programs/CheckCommand.h"

#include "Config/CheckReport.h"
#include "Config/ConfigurationChange.h"
#include "Config/ConfigurationCodec.h"
#include "Config/ConfigurationComparison.h"
#include "Config/ConfigurationLint.h"
#include "Programs/EntryRatioFile.h"
#include "Programs/OperatorError.h"
#include "Programs/Settings.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <utility>

#include <boost/leaf.hpp>

namespace Nutmegrill {

namespace leaf = boost::leaf;

namespace {

using Kind = OperatorError::Kind;

/// Value of --against that stands for the version in the store.
constexpr const char *StoreWord = "store";

leaf::error_id fail(Kind kind, std::string message)
{
    return leaf::new_error(OperatorError{kind, std::move(message)});
}

// A published set as its document in the store, which is no file of any declaration format.
std::optional<Configuration> readDocument(const std::vector<std::string> &files)
{
    if (files.size() != 1)
        return std::nullopt;
    std::ifstream stream(files.front(), std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    auto configuration = decodeConfiguration(text);
    // All fields of the document have defaults, so an unrelated JSON object decodes as well.
    return configuration && configuration->version != 0 && !configuration->services.empty()
                           && text.find("\"callerLimits\"") != std::string::npos
                   ? std::move(configuration)
                   : std::nullopt;
}

} // namespace

void CheckCommand::declareSettings(Settings &settings)
{
    using Format = Settings::Format;
    std::string names;
    for (const auto &[name, factory] : ConfigurationFormat::factories())
        names += (names.empty() ? "" : " or ") + name;
    settings.allow("format", Format::Text, "declarations", "check: format of the files, " + names);
    settings.allow("against", Format::TextList, "",
                   "check: compare with the version in force, given as files separated by commas, "
                   "or as the word store for the one in the store");
    settings.allow("entry-settings", Format::Text, "",
                   "check: settings file of the entries whose ratios are checked as well");
    settings.allow("output", Format::Text, "text", "check: text or json");
    settings.allow("strict", Format::YesNo, "no",
                   "check: yes: exit with 3 if there are warnings but no errors");
}

CheckCommand::Result CheckCommand::run()
{
    const auto &words = this->settings.positionalArguments();
    if (words.size() < 2)
        return fail(Kind::Usage, "no declaration files given");
    if (const std::string &output = this->settings.text("output");
        output != "text" && output != "json")
        return fail(Kind::Usage, "--output: '" + output + "' is not text or json");
    BOOST_LEAF_AUTO(format, this->chooseFormat());
    auto inForce = this->readInForce(*format);
    const auto loaded = format->load({words.begin() + 1, words.end()});
    CheckReport report;
    report.addErrors(loaded.errors);
    if (loaded.configuration) {
        if (!inForce)
            return inForce.error();
        if (auto checked = this->check(loaded, *inForce, report); !checked)
            return checked.error();
    }
    report.sort();
    this->print(report);
    if (const auto errors = report.errorCount(); errors != 0)
        return fail(Kind::Declarations, std::to_string(errors) + " errors; nothing was published");
    if (const auto warnings = report.warningCount();
        warnings != 0 && this->settings.text("strict") == "yes")
        return fail(Kind::Warnings, std::to_string(warnings) + " warnings; nothing was published");
    return {};
}

leaf::result<std::unique_ptr<ConfigurationFormat>> CheckCommand::chooseFormat() const
{
    const auto &factories = ConfigurationFormat::factories();
    const auto found = factories.find(this->settings.text("format"));
    if (found == factories.end())
        return fail(Kind::Usage, "--format: unknown format '" + this->settings.text("format")
                                         + "'; --help lists the formats");
    return found->second();
}

CheckCommand::Result CheckCommand::check(const ConfigurationFormat::Loaded &loaded,
                                         const ConfigurationPtr &inForce, CheckReport &report) const
{
    const Configuration &configuration = *loaded.configuration;
    EntryRatioFile ratioFile(*loaded.locator);
    if (const std::string &path = this->settings.text("entry-settings");
        !path.empty() && !ratioFile.read(path))
        return fail(Kind::Usage,
                    "--entry-settings: '" + path + "' cannot be read or has a malformed ratio");
    report.setCounts(configuration);
    report.addFindings(ConfigurationLint::check(configuration, ratioFile.ratios()), ratioFile);
    if (inForce == nullptr)
        return {};
    // As apply does, keeps the state of the failure domains in force.
    const ConfigurationChange change{
            {}, {}, ConfigurationChange::Apply{configuration, std::nullopt}};
    Configuration next = change.applyTo(*inForce).configuration;
    next.callerLimits = configuration.callerLimits;
    report.setChanges(ConfigurationComparison::compare(*inForce, next));
    return {};
}

leaf::result<ConfigurationPtr> CheckCommand::readInForce(const ConfigurationFormat &format) const
{
    if (this->settings.text("against").empty())
        return ConfigurationPtr();
    if (this->settings.text("against") == StoreWord)
        return format.readStored(this->loop, this->settings.text("store"));
    const auto files = this->settings.list("against");
    if (auto document = readDocument(files))
        return std::make_shared<Configuration>(std::move(*document));
    auto loaded = format.load(files);
    if (!loaded.configuration)
        return fail(Kind::Usage, "--against: "
                                         + (loaded.errors.empty() ? std::string("no configuration")
                                                                  : loaded.errors.front().text()));
    return std::make_shared<Configuration>(std::move(*loaded.configuration));
}

void CheckCommand::print(const CheckReport &report) const
{
    if (this->settings.text("output") == "json") {
        std::cout << report.json() << "\n";
        return;
    }
    for (const std::string &line : report.problemLines())
        std::cerr << line << "\n";
    for (const std::string &line : report.changeLines())
        std::cout << line << "\n";
    if (report.errorCount() == 0)
        std::cout << report.summary() << "\n";
}

} // namespace Nutmegrill
