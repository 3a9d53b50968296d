#include "Programs/Settings.h"
#include "Programs/SettingsWatch.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Timeout{3000};

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(flagsOverrideFile);
    CPPUNIT_TEST(fractionsAreRead);
    CPPUNIT_TEST(invalidFileIsRejected);
    CPPUNIT_TEST(reloadChangesAllSettingsOrNone);
    CPPUNIT_TEST(fileIsReloadedWithAndWithoutSignal);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        char name[] = "/tmp/nutmegrill-settings-XXXXXX";
        const int file = mkstemp(name);
        CPPUNIT_ASSERT(file >= 0);
        close(file);
        this->path = name;
        this->settings = std::make_unique<Settings>("program", "test");
        this->settings->allowFile();
        this->settings->require("name", Settings::Format::Text, "");
        this->settings->require("store", Settings::Format::Address, "");
        this->settings->allow("ratio", Settings::Format::Decimal, "0.2", "");
        this->settings->allow("grace", Settings::Format::PositiveNumber, "8", "");
    }

    void tearDown() override { std::remove(this->path.c_str()); }

    // Guards against a file that overrides a flag, and against an unknown or empty setting in the
    // file that prevents the start of a process.
    void flagsOverrideFile()
    {
        this->write("name = from-file\nstore = 10.0.0.1:80\nratio =\nnew-field = 7\n# grace = 3\n");
        CPPUNIT_ASSERT(this->read({"--name=from-flag"}));
        CPPUNIT_ASSERT_EQUAL(std::string("from-flag"), this->settings->text("name"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), this->settings->text("store"));
        CPPUNIT_ASSERT_EQUAL(0.2, this->settings->decimal("ratio"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), this->settings->number("grace"));
    }

    // Guards against a process that does not start because the platform gives a fraction.
    void fractionsAreRead()
    {
        this->settings->allow("window", Settings::Format::PositiveDecimal, "10", "");
        this->write("name = a\nstore = 10.0.0.1:80\nratio = 34.10526315789474\nwindow = 7.5\n");
        CPPUNIT_ASSERT(this->read({}));
        CPPUNIT_ASSERT_EQUAL(34.10526315789474, this->settings->decimal("ratio"));
        CPPUNIT_ASSERT_EQUAL(7.5, this->settings->decimal("window"));
        for (const char *text : {"-1", "1e999", "nan", "0.2x", "", "0,2", " 1"})
            CPPUNIT_ASSERT_MESSAGE(text, !this->read({"--ratio=" + std::string(text)}));
        CPPUNIT_ASSERT(!this->read({"--window=0"}));
        CPPUNIT_ASSERT(!this->read({"--window=0.0"}));
    }

    // Guards against a process that starts with an invalid or unreadable file.
    void invalidFileIsRejected()
    {
        this->write("store = nowhere\ngrace = 0\n");
        CPPUNIT_ASSERT(!this->read({}));
        CPPUNIT_ASSERT_EQUAL(int(Settings::ExitUsage), this->settings->exitCode());
        this->path = "/nonexistent/file";
        CPPUNIT_ASSERT(!this->read({}));
    }

    // Guards against a file with one invalid line that changes only a part of the settings.
    void reloadChangesAllSettingsOrNone()
    {
        this->write("name = a\nstore = 10.0.0.1:80\n");
        CPPUNIT_ASSERT(this->read({}));
        CPPUNIT_ASSERT(this->settings->reload().isEmpty());
        this->write("name = a\nstore = 10.0.0.2:80\ngrace = none\n");
        const Settings::Reload faulty = this->settings->reload();
        CPPUNIT_ASSERT_EQUAL(std::string("changed=none fault=\"--grace: 'none' is not a number "
                                         "from 1 to 4294967295\""),
                             faulty.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), this->settings->text("store"));
        // The same text is not reported again.
        CPPUNIT_ASSERT(this->settings->reload().isEmpty());
        this->write("name = a\nstore = 10.0.0.2:80\ngrace = 9\n");
        CPPUNIT_ASSERT_EQUAL(std::string("changed=grace,store"), this->settings->reload().text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), this->settings->number("grace"));
        std::remove(this->path.c_str());
        CPPUNIT_ASSERT(!this->settings->reload().errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), this->settings->number("grace"));
    }

    // Guards against a SIGHUP without a report, and against a change that only a signal makes
    // effective.
    void fileIsReloadedWithAndWithoutSignal()
    {
        this->write("name = a\nstore = 10.0.0.1:80\n");
        CPPUNIT_ASSERT(this->read({}));
        EventLoop loop;
        std::vector<std::string> seen;
        const SettingsWatch watch(loop, *this->settings, [&](const Settings::Reload &reload) {
            seen.push_back(reload.text());
        });
        loop.after(milliseconds(1), [] { std::raise(SIGHUP); });
        loop.runUntil([&] { return seen.size() == 1; }, Timeout);
        this->write("name = b\nstore = 10.0.0.1:80\n");
        loop.runUntil([&] { return seen.size() == 2; }, Timeout);
        CPPUNIT_ASSERT((seen == std::vector<std::string>{"changed=none", "changed=name"}));
    }

private:
    void write(const std::string &text) const
    {
        std::ofstream stream(this->path, std::ios::binary | std::ios::trunc);
        stream << text;
    }

    bool read(std::vector<std::string> flags)
    {
        flags.insert(flags.begin(), {"program", "--settings=" + this->path});
        std::vector<const char *> words;
        words.reserve(flags.size());
        for (const std::string &flag : flags)
            words.push_back(flag.c_str());
        return this->settings->read(static_cast<int>(words.size()), words.data());
    }

    std::string path;
    std::unique_ptr<Settings> settings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace Nutmegrill
