#include "Net/EventLoop.h"
#include "StandIns/StandIn.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

// Main function of every stand-in; each program links its own createStandIn().
int main(int argc, char **argv)
{
    using namespace Nutmegrill;
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    const std::unique_ptr<StandIn> standIn = createStandIn(loop);
    if (!standIn->start({argv + 1, argv + argc}))
        return EXIT_FAILURE;
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    std::cout << standIn->name() << " listens on " << standIn->listenAddress() << std::endl;
    loop.run();
    return EXIT_SUCCESS;
}
