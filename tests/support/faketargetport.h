#pragma once

#include "dispatch/interfaces/targetport.h"

#include <vector>

namespace Anvilcart
{
/// Records the requests to the targets.
class FakeTargetPort : public TargetPort
{
public:
    struct Started
    {
        TargetIndex target;
        TaskStart start;
    };

    struct Stopped
    {
        TargetIndex target;
        std::string submission;
        std::string task;
    };

    void configure(TargetIndex, const TargetSpec &) override
    {
    }

    void start(TargetIndex target, TaskStart start) override
    {
        started.push_back({target, std::move(start)});
    }

    void stop(TargetIndex target, const std::string &submission, const std::string &task) override
    {
        stopped.push_back({target, submission, task});
    }

    std::vector<Started> started;
    std::vector<Stopped> stopped;
};
} // namespace Anvilcart
