#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Nutmegrill {

/// Settings of a process from flags and from environment variables (NUTMEGRILL_ and the flag's name
/// in upper case, '-' as '_'). A flag goes before the variable. Every setting is checked before the
/// process starts, and each fault gets one message.
class Settings
{
public:
    enum class Format { Text, Address, AddressList, Number, PositiveNumber, Decimal, YesNo };

    /// Exit codes of every program.
    static constexpr int ExitOk = 0;
    static constexpr int ExitFailure = 1;
    static constexpr int ExitUsage = 2;
    static constexpr int ExitCannotListen = 3;
    static constexpr int ExitStoreUnreachable = 4;
    static constexpr int ExitConflict = 5;

    Settings(std::string program, std::string summary);
    ~Settings();
    Settings(const Settings &) = delete;
    Settings &operator=(const Settings &) = delete;

    /// Declares a setting. One without a default value must be given.
    void require(const std::string &name, Format format, const std::string &help);
    void allow(const std::string &name, Format format, const std::string &defaultValue,
               const std::string &help);

    /// Words that are no flags are kept in order; without this they are faults.
    void allowWords() { this->wordsAllowed = true; }

    /// Reads flags and environment. Returns false when the process has to exit with exitCode():
    /// --help and --version were answered, or messages written.
    bool read(int argc, const char *const *argv);

    int exitCode() const { return this->code; }

    const std::string &text(const std::string &name) const;
    std::uint64_t number(const std::string &name) const;
    double decimal(const std::string &name) const;
    std::vector<std::string> list(const std::string &name) const;
    const std::vector<std::string> &words() const { return this->positional; }

private:
    struct Parser;

    void checkValues(std::vector<std::string> &faults) const;

    std::unique_ptr<Parser> parser;
    std::string program;
    int code = ExitOk;
    bool wordsAllowed = false;
    std::vector<std::string> positional;
};

} // namespace Nutmegrill
