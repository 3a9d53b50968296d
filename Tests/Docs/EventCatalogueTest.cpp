#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace {

namespace fs = std::filesystem;

fs::path sourceRoot()
{
    const char *root = std::getenv("NUTMEGRILL_SOURCE_DIRECTORY");
    CPPUNIT_ASSERT(root != nullptr);
    return root;
}

// Adds the first capture group of the match in each line. A number that occurs twice is a failure.
void addNumbers(const fs::path &path, const std::regex &pattern, std::set<std::string> &numbers)
{
    std::ifstream file(path);
    CPPUNIT_ASSERT_MESSAGE(path.string(), file.good());
    std::smatch match;
    for (std::string line; std::getline(file, line);) {
        if (std::regex_search(line, match, pattern))
            CPPUNIT_ASSERT_MESSAGE(match[1].str() + " occurs twice",
                                   numbers.insert(match[1].str()).second);
    }
}

std::set<std::string> numbersInCode()
{
    static const std::regex constant("constexpr std::uint32_t \\w+ = ([0-9]+);");
    std::set<std::string> numbers;
    for (const auto &file : fs::recursive_directory_iterator(sourceRoot() / "Source")) {
        const std::string name = file.path().filename().string();
        if (name.size() > 5 && name.substr(name.size() - 5) == "Log.h" && name != "EventLog.h")
            addNumbers(file.path(), constant, numbers);
    }
    return numbers;
}

std::string difference(const std::set<std::string> &left, const std::set<std::string> &right)
{
    std::string text;
    for (const std::string &number : left)
        text += right.count(number) == 0 ? number + " " : "";
    return text;
}

} // namespace

class EventCatalogueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventCatalogueTest);
    CPPUNIT_TEST(catalogueListsEveryNumber);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log event that operators cannot look up, a catalogue row that no code
    // writes, and two events with one number.
    void catalogueListsEveryNumber()
    {
        const std::set<std::string> code = numbersInCode();
        CPPUNIT_ASSERT(code.size() > 10);
        std::set<std::string> page;
        addNumbers(sourceRoot() / "docs" / "events.md", std::regex("^\\| ([0-9]+) \\|"), page);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not in the page", std::string(), difference(code, page));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not in the code", std::string(), difference(page, code));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCatalogueTest);

} // namespace Nutmegrill
