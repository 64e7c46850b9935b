#include "platform/platformstandin.h"

#include "model/endpoint.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

/// Plays the platform: an append-only log and a lagging host list, with faults on request.
int main(int argc, char **argv)
{
    using namespace Anvilcart;
    TCLAP::CmdLine commandLine("Plays the platform's log and host list.", ' ', ANVILCART_VERSION);
    TCLAP::ValueArg<std::string> listen("l", "listen", "where to listen", true, "", "ADDRESS:PORT", commandLine);
    commandLine.parse(argc, argv);
    const auto endpoint = parseEndpoint(listen.getValue());
    if (!endpoint) {
        std::cerr << "--listen needs ADDRESS:PORT\n";
        return 2;
    }
    boost::asio::io_context signalLoop;
    boost::asio::signal_set signals(signalLoop, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code &, int) {});
    EventLoops loops(1);
    const PlatformStandin platform(loops, *endpoint);
    signalLoop.run();
    loops.stop();
    return 0;
}
