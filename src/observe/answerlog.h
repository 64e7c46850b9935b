#pragma once

#include "model/resultcode.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// How often a result code was answered since the process started.
struct AnswerCount
{
    ResultCode code;
    std::uint64_t count;
};

/// Turns running counts of answers into one log line for each kind of refusal and interval. Not thread-safe.
class AnswerLog
{
public:
    /// The lines for what was refused since the last call; whole answers and unchanged counts give none.
    std::vector<std::string> linesFor(const std::vector<AnswerCount> &counts);

private:
    std::unordered_map<ResultCode, std::uint64_t> m_last;
};
} // namespace Anvilcart
