#include "scheduling/fairqueueclock.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// The first priority step reduces a route's share by a fifth, each further step by a little less. This decides between routes that both
/// want more than their share, and no route is starved.
constexpr double CostPerPriorityStep = 0.25;

double costOf(std::int64_t priority, double work)
{
    return work * (1 + CostPerPriorityStep * static_cast<double>(std::max<std::int64_t>(0, priority)));
}
} // namespace

double FairQueueClock::assignStartTag(const std::string &route, std::int64_t priority, double work)
{
    auto &finish = m_finishTags[route];
    const double tag = std::max(m_virtualTime, finish);
    finish = tag + costOf(priority, work);
    return tag;
}

void FairQueueClock::onStarted(const std::string &route, std::int64_t priority, double work, double tag)
{
    m_virtualTime = std::max(m_virtualTime, tag);
    auto &finish = m_startedFinishTags[route];
    finish = std::max(finish, tag + costOf(priority, work));
}

void FairQueueClock::resetWaitingTags(const std::string &route)
{
    m_finishTags[route] = m_startedFinishTags[route];
}
} // namespace Anvilcart::Fleet
