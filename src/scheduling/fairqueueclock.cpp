#include "scheduling/fairqueueclock.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// A step of priority takes a fifth of a share: it decides between routes that both want more than their share, and starves none.
constexpr double PriorityStep = 0.25;

double costOf(std::int64_t priority, double work)
{
    return work * (1 + PriorityStep * static_cast<double>(std::max<std::int64_t>(0, priority)));
}
} // namespace

double FairQueueClock::tagFor(const std::string &route, std::int64_t priority, double work)
{
    auto &finish = m_finishOfRoute[route];
    const double tag = std::max(m_virtualTime, finish);
    finish = tag + costOf(priority, work);
    return tag;
}

void FairQueueClock::onStarted(const std::string &route, std::int64_t priority, double work, double tag)
{
    m_virtualTime = std::max(m_virtualTime, tag);
    auto &finish = m_startedFinishOfRoute[route];
    finish = std::max(finish, tag + costOf(priority, work));
}

void FairQueueClock::forgetWaiting(const std::string &route)
{
    m_finishOfRoute[route] = m_startedFinishOfRoute[route];
}
} // namespace Anvilcart::Fleet
