#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <unordered_map>

namespace Anvilcart
{
namespace
{
const prometheus::Histogram::BucketBoundaries DurationBucketsMs = {0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};
}

struct Metrics::Private
{
    Private()
        : answers(
            prometheus::BuildCounter().Name("anvilcart_answers_total").Help("Answers to submissions, by result code.").Register(registry))
        , transitions(prometheus::BuildCounter().Name("anvilcart_task_transitions_total").Help("Edges that tasks took.").Register(registry))
        , retries(prometheus::BuildCounter().Name("anvilcart_retries_total").Help("Tasks that went back to the queue.").Register(registry))
        , ejections(
              prometheus::BuildCounter().Name("anvilcart_ejections_total").Help("Targets that were ejected, by reason.").Register(registry))
        , responses(prometheus::BuildHistogram()
                        .Name("anvilcart_response_ms")
                        .Help("Time from a submission's arrival to its answer.")
                        .Register(registry)
                        .Add({}, DurationBucketsMs))
        , queueWaits(prometheus::BuildHistogram()
                         .Name("anvilcart_queue_wait_ms")
                         .Help("Time from a submission's arrival to the start of a task.")
                         .Register(registry)
                         .Add({}, DurationBucketsMs))
    {
        for (const auto &row : resultCodeTable()) {
            byCode[row.code] = &answers.Add({{"code", std::to_string(static_cast<int>(row.code))}, {"name", std::string(row.name)}});
        }
        for (std::size_t reason = 0; reason < NotStartedReasonCount; ++reason) {
            const auto name = toName(static_cast<NotStartedReason>(reason));
            byReason[reason] = &retries.Add({{"reason", std::string(name)}});
        }
        for (std::size_t reason = 0; reason < EjectionReasonCount; ++reason) {
            const auto name = toName(static_cast<EjectionReason>(reason));
            byEjection[reason] = &ejections.Add({{"reason", std::string(name)}});
        }
        addTransitions();
    }

    void addTransitions()
    {
        for (std::size_t from = 0; from < TaskStateCount; ++from) {
            for (std::size_t to = 0; to < TaskStateCount; ++to) {
                const auto fromState = static_cast<TaskState>(from);
                const auto toState = static_cast<TaskState>(to);
                if (isTransition(fromState, toState)) {
                    byEdge[from][to] = &transitions.Add({{"from", std::string(toName(fromState))}, {"to", std::string(toName(toState))}});
                }
            }
        }
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &transitions;
    prometheus::Family<prometheus::Counter> &retries;
    prometheus::Family<prometheus::Counter> &ejections;
    prometheus::Histogram &responses;
    prometheus::Histogram &queueWaits;
    std::unordered_map<ResultCode, prometheus::Counter *> byCode;
    std::array<prometheus::Counter *, NotStartedReasonCount> byReason {};
    std::array<prometheus::Counter *, EjectionReasonCount> byEjection {};
    std::array<std::array<prometheus::Counter *, TaskStateCount>, TaskStateCount> byEdge {};
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::onTransition(TaskState from, TaskState to)
{
    d->byEdge[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)]->Increment();
}

void Metrics::onAnswer(ResultCode code, Duration response)
{
    d->byCode.at(code)->Increment();
    d->responses.Observe(toMilliseconds(response));
}

void Metrics::onRetry(NotStartedReason reason)
{
    d->byReason[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::onEjection(EjectionReason reason)
{
    d->byEjection[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::onQueueWait(Duration wait)
{
    d->queueWaits.Observe(toMilliseconds(wait));
}

std::vector<AnswerCount> Metrics::answerCounts() const
{
    std::vector<AnswerCount> counts;
    for (const auto &row : resultCodeTable()) {
        counts.push_back({row.code, static_cast<std::uint64_t>(d->byCode.at(row.code)->Value())});
    }
    return counts;
}

prometheus::Registry &Metrics::registry()
{
    return d->registry;
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}
} // namespace Anvilcart
