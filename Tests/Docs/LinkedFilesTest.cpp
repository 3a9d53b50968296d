#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Nutmegrill {

namespace fs = std::filesystem;

class LinkedFilesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LinkedFilesTest);
    CPPUNIT_TEST(namedFilesExist);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a page that refers to a file that was moved, renamed or deleted.
    void namedFilesExist()
    {
        static const std::regex name(R"((?:`|\()((?:Source|Tests|docs|scripts)/[\w./-]+)(?:`|\)))");
        const char *root = std::getenv("NUTMEGRILL_SOURCE_DIRECTORY");
        CPPUNIT_ASSERT(root != nullptr);
        int named = 0;
        for (const char *page : {"README.md", "docs/glossary.md", "docs/OPERATIONS.md",
                                 "docs/events.md", "docs/api.md", "docs/check.md"}) {
            std::ifstream file(fs::path(root) / page);
            CPPUNIT_ASSERT_MESSAGE(page, file.good());
            for (std::string line; std::getline(file, line);) {
                for (std::sregex_iterator match(line.begin(), line.end(), name), end; match != end;
                     ++match, ++named)
                    CPPUNIT_ASSERT_MESSAGE(std::string(page) + " names " + (*match)[1].str(),
                                           fs::exists(fs::path(root) / (*match)[1].str()));
            }
        }
        CPPUNIT_ASSERT(named > 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkedFilesTest);

} // namespace Nutmegrill
