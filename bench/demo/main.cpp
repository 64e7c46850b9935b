#include "site/measure.h"
#include "site/site.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

namespace
{
using namespace Anvilcart;

constexpr double DemoLoad = 0.5;
constexpr int DemoSeconds = 5;
constexpr int DemoSeed = 1;
constexpr std::chrono::microseconds SocietyClientDelay {1000};
constexpr std::chrono::microseconds KavangoClientDelay {3000};

void printHeader()
{
    std::printf(
        "%-10s %6s %6s %7s %8s %22s %16s\n", "site", "jobs", "whole", "failed", "not run", "response / ideal (p99)", "wasted msgs/task");
}

void printRow(const std::string &name, const RunFigures &figures)
{
    std::printf("%-10s %6lu %6lu %7lu %8lu %14.2f (%5.2f) %16.4f\n",
                name.c_str(),
                figures.jobs,
                figures.whole,
                figures.failed,
                figures.notRun,
                figures.meanSlowdown,
                figures.p99Slowdown,
                figures.wastedPerTask);
}

bool runSite(const SiteOptions &options, std::chrono::microseconds clientDelay, const std::string &binaries)
{
    Site site(options, binaries);
    const auto figures = measure(site, {DemoLoad, DemoSeconds, DemoSeed, clientDelay});
    printRow(options.name, figures);
    return figures.whole == figures.jobs && figures.wrong == 0 && figures.doubleStarts == 0;
}
} // namespace

/// Starts the Society and then Kavango at today's size, sends jobs to each and prints what came of them.
int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Runs both sites at today's size for a few seconds.", ' ', ANVILCART_VERSION);
    TCLAP::ValueArg<std::string> binaries("b", "binaries", "the build folder", true, "", "DIR", commandLine);
    commandLine.parse(argc, argv);
    printHeader();
    const bool society = runSite(societyOptions(), SocietyClientDelay, binaries.getValue());
    const bool kavango = runSite(kavangoOptions(), KavangoClientDelay, binaries.getValue());
    if (!society || !kavango) {
        std::cerr << "demo: some jobs were not answered whole\n";
        return 1;
    }
    return 0;
}
