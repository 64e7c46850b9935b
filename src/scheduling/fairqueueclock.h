#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Anvilcart::Fleet
{
/// Start-time fair queueing: waiting routes share the capacity, and a route that asks for less than its share is not delayed by the
/// others. Keeps one kind of job from crowding out the rest under load. Not thread-safe.
class FairQueueClock
{
public:
    /// Assigns the start tag of a job that arrives now; jobs with lower tags start first. work is in core-milliseconds and above 0.
    /// A higher priority number makes the route's share smaller.
    double assignStartTag(const std::string &route, std::int64_t priority, double work);

    /// Records the start of a job of this route. tag is what assignStartTag() returned for this priority and work.
    void onStarted(const std::string &route, std::int64_t priority, double work, double tag);

    /// Discards the tags of a route's waiting jobs. The caller then assigns new tags to them in order, so that the route is not charged
    /// for jobs that left the queue without a start.
    void resetWaitingTags(const std::string &route);

private:
    double m_virtualTime = 0;
    /// For each route, the finish tag of the last tagged job and of the last started job.
    std::unordered_map<std::string, double> m_finishTags;
    std::unordered_map<std::string, double> m_startedFinishTags;
};
} // namespace Anvilcart::Fleet
