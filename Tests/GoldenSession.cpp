#include "GoldenSession.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace Nutmegrill {

namespace {

std::string goldenPath(const std::string &file)
{
    const char *directory = std::getenv("NUTMEGRILL_GOLDEN_DIRECTORY");
    return std::string(directory != nullptr ? directory : "Tests/Golden") + "/" + file;
}

std::string firstDifference(const std::string &expected, const std::string &actual)
{
    std::istringstream expectedLines(expected);
    std::istringstream actualLines(actual);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        const bool moreExpected = static_cast<bool>(std::getline(expectedLines, expectedLine));
        const bool moreActual = static_cast<bool>(std::getline(actualLines, actualLine));
        if (!moreExpected && !moreActual)
            return "files differ only in line ends";
        if (moreExpected != moreActual || expectedLine != actualLine) {
            return "line " + std::to_string(number)
                   + "\n  expected: " + (moreExpected ? expectedLine : "<end>")
                   + "\n  actual:   " + (moreActual ? actualLine : "<end>");
        }
    }
}

} // namespace

GoldenSession::GoldenSession(std::string name) : name(std::move(name)) {}

std::string GoldenSession::run(const Step &step) const
{
    std::ifstream session(goldenPath(this->name + ".session"));
    if (!session)
        return "no session file for " + this->name;
    std::string actual;
    for (std::string line; std::getline(session, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        actual += "> " + line + "\n";
        for (const std::string &traceLine : step(line))
            actual += "  " + traceLine + "\n";
    }
    const std::string tracePath = goldenPath(this->name + ".trace");
    if (std::getenv("NUTMEGRILL_UPDATE_GOLDEN") != nullptr)
        std::ofstream(tracePath) << actual;
    std::ifstream trace(tracePath);
    if (!trace)
        return "no trace file for " + this->name;
    const std::string expected((std::istreambuf_iterator<char>(trace)), {});
    return expected == actual ? std::string() : firstDifference(expected, actual);
}

} // namespace Nutmegrill
