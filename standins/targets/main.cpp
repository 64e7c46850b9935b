#include "targets/targetstandin.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

namespace
{
using namespace Anvilcart;

/// Reads lines of "name address:port slots".
std::vector<PlayedTarget> readTargets(const std::string &path)
{
    std::vector<PlayedTarget> targets;
    std::ifstream stream(path);
    std::string name;
    std::string address;
    std::uint32_t slots = 0;
    while (stream >> name >> address >> slots) {
        targets.push_back({name, parseEndpoint(address).value(), slots});
    }
    return targets;
}
} // namespace

/// Plays many targets on loopback addresses, with faults on request.
int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Plays many targets.", ' ', ANVILCART_VERSION);
    TCLAP::ValueArg<std::string> list("t", "targets", "lines of NAME ADDRESS:PORT SLOTS", true, "", "FILE", commandLine);
    TCLAP::ValueArg<std::string> control("c", "control", "where to take control requests", true, "", "ADDRESS:PORT", commandLine);
    TCLAP::ValueArg<std::size_t> threads("n", "threads", "event loops", false, 1, "COUNT", commandLine);
    TCLAP::ValueArg<std::int64_t> zoneDelay(
        "d", "zone-delay-us", "one way between availability zones", false, 0, "MICROSECONDS", commandLine);
    commandLine.parse(argc, argv);
    boost::asio::io_context signalLoop;
    boost::asio::signal_set signals(signalLoop, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code &, int) {});
    EventLoops loops(threads.getValue());
    const TargetStandin standin(
        loops, parseEndpoint(control.getValue()).value(), readTargets(list.getValue()), std::chrono::microseconds(zoneDelay.getValue()));
    signalLoop.run();
    loops.stop();
    return 0;
}
