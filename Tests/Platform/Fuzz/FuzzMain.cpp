// Mutation fuzzer for the parsers of untrusted input. By default, a short run over all targets with
// a fixed seed; --seconds makes it longer. Stops a target at its first failure, prints the input in
// hexadecimal and exits with code 1.

#include "Core/RandomSource.h"
#include "FuzzTargets.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

using namespace Nutmegrill;

namespace {

constexpr std::uint64_t DefaultExecutions = 4000;
constexpr std::size_t MaxInputBytes = 4096;
constexpr std::uint64_t MaxMutations = 6;

std::string mutate(const FuzzTarget &target, RandomSource &random)
{
    std::string input = target.corpus[random.below(target.corpus.size())];
    for (std::uint64_t count = 1 + random.below(MaxMutations); count > 0; --count) {
        const std::size_t at = random.below(input.size() + 1);
        switch (random.below(6)) {
        case 0:
            if (at < input.size())
                input[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            input.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 2:
            input.erase(at, 1 + random.below(8));
            break;
        case 3: { // Copies a part to another position.
            const std::string part = input.substr(at, 1 + random.below(32));
            input.insert(random.below(input.size() + 1), part);
            break;
        }
        case 4: {
            static constexpr const char *Tokens[] = {
                    "\r\n", "\n\n",    "0", "-1",      "99999999999999999999", ":", "{", "]",
                    "\"",   "chunked", " ", "\x00\xff"};
            input.insert(at, Tokens[random.below(std::size(Tokens))]);
            break;
        }
        default:
            input.resize(at);
            break;
        }
    }
    input.resize(std::min(input.size(), MaxInputBytes));
    return input;
}

std::string toHexadecimal(const std::string &bytes)
{
    static constexpr const char *Digits = "0123456789abcdef";
    std::string text;
    for (const char character : bytes) {
        text += Digits[static_cast<unsigned char>(character) >> 4U];
        text += Digits[static_cast<unsigned char>(character) & 15U];
    }
    return text;
}

/// Returns the number of executions; 0 after a failure.
std::uint64_t fuzz(const FuzzTarget &target, std::uint64_t seed, std::chrono::seconds limit)
{
    RandomSource random(seed);
    const auto end = std::chrono::steady_clock::now() + limit;
    for (std::uint64_t run = 1;; ++run) {
        const std::string input = mutate(target, random);
        std::string failure;
        try {
            failure = target.run(input);
        } catch (const std::exception &error) {
            failure = std::string("exception: ") + error.what();
        }
        if (!failure.empty()) {
            std::cout << target.name << " seed " << seed << " run " << run << ": " << failure
                      << "\ninput " << toHexadecimal(input) << "\n";
            return 0;
        }
        const bool isDone = limit.count() == 0 ? run >= DefaultExecutions
                                               : std::chrono::steady_clock::now() >= end;
        if (isDone)
            return run;
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::string only;
    std::uint64_t seed = 1;
    std::int64_t seconds = 0;
    options::options_description description("fuzz-readers");
    description.add_options()("help", "show this help")("target", options::value(&only),
                                                        "one target instead of all")(
            "seed", options::value(&seed), "seed of the mutations")(
            "seconds", options::value(&seconds), "time for each target; 0: a short run");
    options::variables_map parsed;
    try {
        options::store(options::parse_command_line(argc, argv, description), parsed);
        options::notify(parsed);
    } catch (const options::error &error) {
        std::cerr << "fuzz-readers: " << error.what() << "\n";
        return 2;
    }
    if (parsed.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    int passed = 0;
    int failed = 0;
    for (const FuzzTarget &target : fuzzTargets()) {
        if (!only.empty() && only != target.name)
            continue;
        const std::uint64_t runs = fuzz(target, seed, std::chrono::seconds(seconds));
        std::cout << target.name << ": " << runs << " executions" << std::endl;
        ++(runs > 0 ? passed : failed);
    }
    std::cout << "fuzz-readers: " << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed > 0 ? 0 : 1;
}
