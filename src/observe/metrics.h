#pragma once

#include "dispatch/interfaces/dispatchobserver.h"

#include <memory>
#include <string>

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

    /// The registry, for parts that have counters of their own. Thread-safe.
    prometheus::Registry &registry();

    /// Every metric in the Prometheus text format. Thread-safe.
    std::string serialize() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};
} // namespace Anvilcart
