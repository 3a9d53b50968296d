#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Settings of a process from flags, from environment variables (NUTMEGRILL_ and the flag's name in
/// upper case, '-' as '_') and from a file with a line `name = value` each; the first of these that
/// has a value takes precedence. All settings are validated before the process starts, and each
/// error gets one message.
class Settings
{
public:
    enum class Format {
        Text,
        TextList,
        Address,
        AddressList,
        Number,
        OptionalNumber, ///< empty where a deployment does not have the field of a template
        PositiveNumber,
        Decimal,
        PositiveDecimal,
        YesNo
    };

    /// Exit codes of every program.
    static constexpr int ExitOk = 0;
    static constexpr int ExitFailure = 1;
    static constexpr int ExitUsage = 2;
    static constexpr int ExitCannotListen = 3;
    /// Used by the operator's program, which listens on no address.
    static constexpr int ExitWarnings = 3;
    static constexpr int ExitStoreUnreachable = 4;
    static constexpr int ExitConflict = 5;

    Settings(std::string program, std::string summary);
    ~Settings();
    Settings(const Settings &) = delete;
    Settings &operator=(const Settings &) = delete;

    /// Declares a setting. A setting without a default value is required.
    void require(const std::string &name, Format format, const std::string &help);
    void allow(const std::string &name, Format format, const std::string &defaultValue,
               const std::string &help);

    /// Declares the setting `settings`, the path of the file. Lines of the file that name no
    /// setting are ignored, so that one file can serve several versions of a program.
    void allowFile();

    /// Allows positional arguments, which are kept in order; without this call they are errors.
    void allowPositionalArguments() { this->arePositionalArgumentsAllowed = true; }

    /// Reads flags, environment and file. Returns false when the process must exit with exitCode()
    /// because --help or --version was handled or error messages were written.
    bool read(int argc, const char *const *argv);

    int exitCode() const { return this->code; }

    struct Reload
    {
        /// Settings whose value has changed, in alphabetical order.
        std::vector<std::string> changed;
        /// If this is not empty, no setting has changed.
        std::vector<std::string> errors;

        bool isEmpty() const { return this->changed.empty() && this->errors.empty(); }
        /// Text for the log, for example `changed=retry-ratio,store`.
        std::string text() const;
    };

    /// Reads the file again. The result is empty when the text of the file has not changed.
    Reload reload();

    const std::string &text(const std::string &name) const;
    std::uint64_t number(const std::string &name) const;
    double decimal(const std::string &name) const;
    std::vector<std::string> list(const std::string &name) const;
    const std::vector<std::string> &positionalArguments() const { return this->positional; }

private:
    struct Parser;

    using Values = std::map<std::string, std::string>;

    /// Reads values from flags, environment and file. Returns false when --help or --version was
    /// handled.
    bool collectValues(Values &values, std::vector<std::string> &errors);
    void checkValues(const Values &values, std::vector<std::string> &errors) const;

    std::unique_ptr<Parser> parser;
    std::string program;
    std::vector<std::string> arguments;
    Values values;
    /// Text of the file when it was last read; nullopt when there was no file.
    std::optional<std::string> fileText;
    int code = ExitOk;
    bool arePositionalArgumentsAllowed = false;
    std::vector<std::string> positional;
};

} // namespace Nutmegrill
