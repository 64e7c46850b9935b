#include "kernel/time.h"
#include "review/support/worker.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

namespace
{
using namespace Anvilcart;
using namespace Anvilcart::Review;

/// A case ends long before.
constexpr Seconds LongestLife {150};
} // namespace

/// Runs stand-in workers until it is killed: COUNT of them on one address, at ports from PORT on, with the ids ID-0, ID-1 and so on.
int main(int argc, char **argv)
{
    if (argc != 6) {
        std::fputs("usage: review-workers ADDRESS PORT COUNT ID LOGFILE\n", stderr);
        return 2;
    }
    const auto firstPort = static_cast<std::uint16_t>(std::atoi(argv[2]));
    RunLog log(argv[5]);
    EventLoops loops(1);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int index = 0; index < std::atoi(argv[3]); ++index) {
        const Endpoint endpoint {argv[1], static_cast<std::uint16_t>(firstPort + index)};
        workers.push_back(std::make_unique<Worker>(loops, endpoint, std::string(argv[4]) + '-' + std::to_string(index), log));
    }
    std::this_thread::sleep_for(LongestLife);
    loops.stop();
    return 0;
}
