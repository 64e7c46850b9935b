#include "model/resultcode.h"

#include <algorithm>
#include <array>

namespace Anvilcart
{
namespace
{
using enum ResultCode;

constexpr std::array Table = {
    ResultCodeInfo {Complete, "complete", 200, "Every task finished; the answer holds every output.", "Nothing to do."},
    ResultCodeInfo {MalformedBody,
                    "malformed_body",
                    400,
                    "The body is empty or is not valid JSON.",
                    "Correct the request; sending it again unchanged fails again."},
    ResultCodeInfo {
        InvalidField, "invalid_field", 400, "A field is missing, has the wrong type or is out of range.", "Correct the named field."},
    ResultCodeInfo {DuplicateTask, "duplicate_task", 400, "Two tasks of the job have the same id.", "Give each task its own id."},
    ResultCodeInfo {
        TaskCountOutOfRange, "task_count_out_of_range", 400, "The job has no task or too many.", "Send between 1 and 750 tasks."},
    ResultCodeInfo {
        BodyTooLarge, "body_too_large", 413, "The body exceeds the limit of the door.", "Send smaller payloads or fewer tasks."},
    ResultCodeInfo {UnknownPath, "unknown_path", 404, "There is nothing at this path.", "See the caller API."},
    ResultCodeInfo {MethodNotAllowed, "method_not_allowed", 405, "The path exists, but not with this method.", "See the caller API."},
    ResultCodeInfo {HeaderTooLarge, "header_too_large", 431, "The header exceeds the limit of the door.", "Send a smaller header."},
    ResultCodeInfo {RequestTimeout, "request_timeout", 408, "The request did not arrive whole in time.", "Send it again, faster."},
    ResultCodeInfo {DuplicateSubmission,
                    "duplicate_submission",
                    409,
                    "A submission with this id is in progress on this host.",
                    "Use a new submission id for each send."},
    ResultCodeInfo {UnknownSubmission,
                    "unknown_submission",
                    404,
                    "No submission with this id is in progress on this host.",
                    "It has ended, or it was sent to another host."},
    ResultCodeInfo {
        QueueFull, "queue_full", 503, "The queue holds as many tasks as it may. Nothing was run.", "Send again after the given time."},
    ResultCodeInfo {QuotaExceeded,
                    "quota_exceeded",
                    429,
                    "The team's quota leaves no room for the job. Nothing was run.",
                    "Send again after the given time, or ask the operator for more."},
    ResultCodeInfo {DeadlineUnreachable,
                    "deadline_unreachable",
                    503,
                    "The queue is too long for the deadline. Nothing was run.",
                    "Send again after the given time, or with a later deadline."},
    ResultCodeInfo {NeverFits,
                    "never_fits",
                    422,
                    "A task is larger than every target. Nothing was run.",
                    "Do not send it again; declare a smaller size."},
    ResultCodeInfo {
        Draining, "draining", 503, "This host is shutting down. Nothing was run.", "Send again; the balancer picks another host."},
    ResultCodeInfo {
        NotReady, "not_ready", 503, "This host knows no configuration yet. Nothing was run.", "Send again after the given time."},
    ResultCodeInfo {CancelledBeforeStart,
                    "cancelled_before_start",
                    409,
                    "The caller cancelled before any task started. Nothing was run.",
                    "Nothing to do."},
    ResultCodeInfo {ClaimsUnavailable,
                    "claims_unavailable",
                    503,
                    "The log is out of reach, so a non-idempotent task cannot be claimed. Nothing was run.",
                    "Send again after the given time, with the same idempotency key."},
    ResultCodeInfo {NoTarget, "no_target", 503, "No target is in service. Nothing was run.", "Send again after the given time."},
    ResultCodeInfo {DeadlineBeforeStart,
                    "deadline_before_start",
                    504,
                    "The deadline passed in the queue. Nothing was run.",
                    "Send again after the given time, or with a later deadline."},
    ResultCodeInfo {
        UnknownTeam, "unknown_team", 403, "The configuration names no such team. Nothing was run.", "Ask the operator to add the team."},
    ResultCodeInfo {RetryBudgetExhausted,
                    "retry_budget_exhausted",
                    503,
                    "Targets refused the job's tasks too often. Nothing was run.",
                    "Send again after the given time."},
    ResultCodeInfo {KeyClaimedElsewhere,
                    "key_claimed_elsewhere",
                    409,
                    "Another submission holds a claim on this idempotency key. Nothing was run by this submission.",
                    "Wait for the other submission's answer."},
    ResultCodeInfo {TaskOutcomeUnknown,
                    "task_outcome_unknown",
                    502,
                    "A target did not answer for a task that it had been sent. Some tasks may have run.",
                    "Send again if the work is idempotent."},
    ResultCodeInfo {TaskFailed,
                    "task_failed",
                    502,
                    "A task ran and failed. Some tasks have run.",
                    "See the message; send again if the work is idempotent."},
    ResultCodeInfo {DeadlineExceeded,
                    "deadline_exceeded",
                    504,
                    "The deadline passed, or could no longer be met, while tasks ran. Some tasks may have run.",
                    "Send again with a later deadline if the work is idempotent."},
    ResultCodeInfo {CancelledWhileRunning,
                    "cancelled_while_running",
                    409,
                    "The caller cancelled while tasks ran. Some tasks may have run.",
                    "Nothing to do."},
    ResultCodeInfo {KeyMayHaveRun,
                    "key_may_have_run",
                    409,
                    "An earlier submission claimed this idempotency key and left no outcome. It may have run.",
                    "Look at the result of the work itself before using a new key."},
    ResultCodeInfo {StoppedWhileRunning,
                    "stopped_while_running",
                    503,
                    "This host had to stop before the job ended. Some tasks may have run.",
                    "Send again if the work is idempotent."},
    ResultCodeInfo {RetriesExhausted,
                    "retries_exhausted",
                    503,
                    "Targets refused a task of the job too often. Other tasks may have run.",
                    "Send again after the given time if the work is idempotent."},
    ResultCodeInfo {PublishConflict,
                    "publish_conflict",
                    409,
                    "Another operator published first and touched the same file.",
                    "Run diff, merge both edits and publish again."},
    ResultCodeInfo {InvalidConfiguration,
                    "invalid_configuration",
                    400,
                    "The configuration has mistakes.",
                    "Correct the named lines; check shows them all."},
    ResultCodeInfo {PlatformUnavailable,
                    "platform_unavailable",
                    503,
                    "The platform's log does not answer.",
                    "Wait for the platform; nothing was lost."},
    ResultCodeInfo {NotInForceEverywhere,
                    "not_in_force_everywhere",
                    504,
                    "The version was accepted but some hosts did not confirm it in time.",
                    "Run status; the named hosts take it when they are reached."},
    ResultCodeInfo {
        PublishRefused, "publish_refused", 409, "The change would plainly stop a site.", "Publish again with --force if that is meant."},
    ResultCodeInfo {InternalError, "internal_error", 500, "The daemon met a fault of its own.", "Report it with the log lines around it."},
};
} // namespace

std::span<const ResultCodeInfo> resultCodeTable()
{
    return Table;
}

const ResultCodeInfo &info(ResultCode code)
{
    const auto *found = std::find_if(Table.begin(), Table.end(), [code](const ResultCodeInfo &row) {
        return row.code == code;
    });
    return found != Table.end() ? *found : Table.back();
}

std::optional<ResultCodeInfo> findResultCode(int number)
{
    const auto *found = std::find_if(Table.begin(), Table.end(), [number](const ResultCodeInfo &row) {
        return static_cast<int>(row.code) == number;
    });
    return found != Table.end() ? std::optional(*found) : std::nullopt;
}

bool isNotRun(ResultCode code)
{
    const auto number = static_cast<int>(code);
    return number >= 100 && number < 300;
}
} // namespace Anvilcart
