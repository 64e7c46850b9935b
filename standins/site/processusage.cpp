#include "site/processusage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace Anvilcart
{
namespace
{
/// The fields of /proc/PID/stat after the name: user and system time stand 11 fields after the state.
constexpr int FieldsBeforeTimes = 11;

double readCpuSeconds(const std::string &folder)
{
    std::ifstream stream(folder + "/stat");
    std::string line;
    std::getline(stream, line);
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeTimes; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
} // namespace

ProcessUsage readUsage(int process)
{
    const auto folder = "/proc/" + std::to_string(process);
    ProcessUsage usage;
    usage.cpuSeconds = readCpuSeconds(folder);
    std::ifstream status(folder + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> usage.memoryKb;
        } else if (word == "VmHWM:") {
            status >> usage.peakMemoryKb;
        }
    }
    return usage;
}
} // namespace Anvilcart
