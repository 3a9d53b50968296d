#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

#include <cppunit/Exception.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace {

// Test names listed in KNOWN-RED.txt: lines of the form "test: Suite::name".
std::set<std::string> knownRedTests()
{
    std::set<std::string> names;
    const char *path = std::getenv("NUTMEGRILL_KNOWN_RED");
    if (path == nullptr)
        return names;
    std::ifstream file(path);
    static const std::string prefix = "test: ";
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, prefix.size(), prefix) == 0)
            names.insert(line.substr(prefix.size()));
    }
    return names;
}

} // namespace

// Runs every registered suite, or only the tests whose name contains the first argument.
int main(int argc, char **argv)
{
    const std::string filter = argc > 1 ? argv[1] : "";
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);

    CppUnit::TestRunner runner;
    CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    runner.addTest(all);
    if (filter.empty()) {
        runner.run(controller);
    } else {
        for (int suite = 0; suite < all->getChildTestCount(); ++suite) {
            CppUnit::Test *cases = all->getChildTestAt(suite);
            for (int index = 0; index < cases->getChildTestCount(); ++index) {
                CppUnit::Test *test = cases->getChildTestAt(index);
                if (test->getName().find(filter) != std::string::npos)
                    test->run(&controller);
            }
        }
    }

    const std::set<std::string> knownRed = knownRedTests();
    int failed = 0;
    int excused = 0;
    for (CppUnit::TestFailure *failure : collector.failures()) {
        const std::string name = failure->failedTestName();
        const bool listed = knownRed.count(name) != 0;
        listed ? ++excused : ++failed;
        std::cout << (listed ? "known red: " : "FAILED: ") << name << " at "
                  << failure->sourceLine().fileName() << ":" << failure->sourceLine().lineNumber()
                  << "\n  " << failure->thrownException()->message().shortDescription() << "\n  "
                  << failure->thrownException()->message().details() << "\n";
    }
    const int passed = collector.runTests() - failed - excused;
    std::cout << argv[0] << ": " << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && collector.runTests() > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
