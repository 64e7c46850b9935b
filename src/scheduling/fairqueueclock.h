#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Anvilcart::Fleet
{
/// Start-time fair queueing: routes that wait share the room, and a route that asks for less than its share waits for none of the
/// others. Answers load at which one kind of job would push the others out. Not thread-safe.
class FairQueueClock
{
public:
    /// The tag of a job that arrives now: lower tags start first. Work is in core-milliseconds, above 0. A higher priority number
    /// makes a route's share smaller.
    double tagFor(const std::string &route, std::int64_t priority, double work);

    /// A job of this route, with the tag that tagFor() gave it for this priority and work, has been started.
    void onStarted(const std::string &route, std::int64_t priority, double work, double tag);

    /// Forgets the tags of a route's waiting jobs, which the caller tags anew in their order: jobs that left the queue without a start
    /// are not charged to their route.
    void forgetWaiting(const std::string &route);

private:
    double m_virtualTime = 0;
    /// Where the tags of each route's waiting jobs end, and of those that were started.
    std::unordered_map<std::string, double> m_finishOfRoute;
    std::unordered_map<std::string, double> m_startedFinishOfRoute;
};
} // namespace Anvilcart::Fleet
