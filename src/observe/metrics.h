#pragma once

#include "dispatch/interfaces/dispatchobserver.h"
#include "observe/answerlog.h"

#include <memory>
#include <string>
#include <vector>

namespace prometheus
{
class Registry;
}

namespace Anvilcart
{
/// The counters and histograms of this daemon.
class Metrics : public DispatchObserver
{
public:
    Metrics();
    ~Metrics() override;

    void onTransition(TaskState from, TaskState to) override;
    void onAnswer(ResultCode code, Duration response) override;
    void onRetry(NotStartedReason reason) override;
    void onEjection(EjectionReason reason) override;
    void onQueueWait(Duration wait) override;

    /// How often each code was answered, in ascending order of code. Thread-safe.
    std::vector<AnswerCount> answerCounts() const;

    /// The registry, for parts that have counters of their own. Thread-safe.
    prometheus::Registry &registry();

    /// Every metric in the Prometheus text format. Thread-safe.
    std::string serialize() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};
} // namespace Anvilcart
