#pragma once

#include "kernel/eventloops.h"
#include "model/endpoint.h"

#include <fstream>
#include <memory>
#include <string>

namespace Anvilcart::Review
{
/// Writes the starts and ends of runs, one a line, with readings of the steady clock. Used on one thread.
class RunLog
{
public:
    explicit RunLog(const std::string &path);

    /// Writes "NANOSECONDS EVENT WORKER TASK RUN DETAIL".
    void write(const std::string &event, const std::string &worker, const std::string &task, std::int64_t run, const std::string &detail);

private:
    std::ofstream m_file;
};

/// One life of a stand-in worker: starts, stops and lists runs as the users' page PROTOCOL says. It starts whatever it is told to
/// (enforce_capacity is false). A run takes as many milliseconds as its spec says. All calls on the thread of the loop.
class Worker
{
public:
    /// Listens at once; throws boost::system::system_error when the endpoint cannot be bound. The loops and the log outlive it.
    Worker(EventLoops &loops, const Endpoint &endpoint, std::string id, RunLog &log);
    ~Worker();

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart::Review
