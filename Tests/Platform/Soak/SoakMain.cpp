#include "SoakWorld.h"

#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    namespace Options = boost::program_options;
    SoakWorld::Options world;
    std::int64_t seconds = world.length.count();
    Options::options_description description(
            "Surroundings of entry processes for Tests/Process/soak-test.sh");
    description.add_options()("help", "print this text")("seed", Options::value(&world.seed),
                                                         "seed of the plan")(
            "entries", Options::value(&world.entries), "number of entry processes")(
            "callers", Options::value(&world.callers), "number of concurrent callers")(
            "seconds", Options::value(&seconds), "length of the play")(
            "first-port", Options::value(&world.firstPort),
            "first port; the store's")("runs-twice", Options::bool_switch(&world.runsTwice),
                                       "counts each run twice, to show that the check sees it");
    try {
        Options::variables_map values;
        Options::store(Options::parse_command_line(argc, argv, description), values);
        Options::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
    } catch (const Options::error &error) {
        std::cerr << "soak-world: " << error.what() << "\n";
        return 2;
    }
    world.length = std::chrono::seconds(seconds);
    const int broken = SoakWorld(world).run();
    std::cout << "broken promises: " << broken << std::endl;
    return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
