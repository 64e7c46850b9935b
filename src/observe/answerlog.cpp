#include "observe/answerlog.h"

namespace Anvilcart
{
std::vector<std::string> AnswerLog::linesFor(const std::vector<AnswerCount> &counts)
{
    std::vector<std::string> lines;
    for (const auto &[code, count] : counts) {
        auto &last = m_last[code];
        const auto since = count - last;
        last = count;
        if (since == 0 || code == ResultCode::Complete) {
            continue;
        }
        const auto number = std::to_string(static_cast<int>(code));
        lines.push_back("answers: " + std::to_string(since) + " times " + number + " " + std::string(info(code).name));
    }
    return lines;
}
} // namespace Anvilcart
