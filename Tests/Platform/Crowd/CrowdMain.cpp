// Callers outside the limits at one real entry process; Tests/Process/crowd-test.sh starts both.

#include "Crowd.h"

#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

using namespace Nutmegrill;

int main(int argc, char **argv)
{
    namespace Options = boost::program_options;
    Crowd::Options crowd;
    Options::options_description description("Callers outside the limits at an entry process");
    description.add_options()("store", Options::value(&crowd.storeAddress)->required(),
                              "address to serve the platform's store on")(
            "worker", Options::value(&crowd.workerAddress)->required(),
            "address to serve a backend server on")("entry",
                                                    Options::value(&crowd.entryAddress)->required(),
                                                    "address of the entry for callers")(
            "readiness", Options::value(&crowd.readinessAddress)->required(),
            "address of the entry for readiness checks")(
            "process", Options::value(&crowd.process)->required(), "id of the entry process")(
            "pattern", Options::value(&crowd.pattern)->required(), "what the callers send")(
            "max-megabytes", Options::value(&crowd.maxMegabytes)->required(),
            "bound of the resident memory of the entry")(
            "max-descriptors", Options::value(&crowd.maxDescriptors)->required(),
            "bound of the open descriptors of the entry");
    try {
        Options::variables_map values;
        Options::store(Options::parse_command_line(argc, argv, description), values);
        Options::notify(values);
    } catch (const Options::error &error) {
        std::cerr << "crowd: " << error.what() << "\n";
        return 2;
    }
    const std::string broken = Crowd(crowd).run();
    std::cout << crowd.pattern << ": " << (broken.empty() ? "holds" : broken) << std::endl;
    return broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
