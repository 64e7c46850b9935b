#include "scheduling/runidentity.h"

#include <xxhash.h>

namespace Anvilcart::Fleet
{
RunIdentity identityOf(const RunName &run, const std::string &target, std::int64_t startedAtMs)
{
    // A separator ends each part, so that no two runs have the same text.
    std::string text = target;
    for (const auto number : {std::uint64_t(startedAtMs),
                              run.task.occurrence,
                              std::uint64_t(run.task.step),
                              std::uint64_t(run.task.index),
                              std::uint64_t(run.run)}) {
        text += '/';
        text += std::to_string(number);
    }
    text += '/';
    text += run.task.jobId;
    return XXH64(text.data(), text.size(), 0);
}
} // namespace Anvilcart::Fleet
