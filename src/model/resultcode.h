#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Anvilcart
{
/// Result codes. The hundreds digit is the class: 1xx the request is invalid, 2xx nothing was run, 3xx some tasks may have run,
/// 4xx an operator's command failed, 5xx internal error of the daemon.
enum class ResultCode : std::uint16_t {
    Complete = 0,

    MalformedBody = 101,
    InvalidField = 102,
    DuplicateTask = 103,
    TaskCountOutOfRange = 104,
    BodyTooLarge = 105,
    UnknownPath = 106,
    MethodNotAllowed = 107,
    HeaderTooLarge = 108,
    RequestTimeout = 109,
    DuplicateSubmission = 110,
    UnknownSubmission = 111,

    QueueFull = 201,
    QuotaExceeded = 202,
    DeadlineUnreachable = 203,
    NeverFits = 204,
    Draining = 205,
    NotReady = 206,
    CancelledBeforeStart = 207,
    ClaimsUnavailable = 208,
    NoTarget = 209,
    DeadlineBeforeStart = 210,
    UnknownTeam = 211,
    RetryBudgetExhausted = 212,
    KeyClaimedElsewhere = 213,

    TaskOutcomeUnknown = 301,
    TaskFailed = 302,
    DeadlineExceeded = 303,
    CancelledWhileRunning = 304,
    KeyMayHaveRun = 305,
    StoppedWhileRunning = 306,
    RetriesExhausted = 307,

    PublishConflict = 401,
    InvalidConfiguration = 402,
    PlatformUnavailable = 403,
    NotInForceEverywhere = 404,
    PublishRefused = 405,

    InternalError = 500,
};

/// A row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
    std::string_view advice;
};

/// All rows, in ascending order of code. Thread-safe.
std::span<const ResultCodeInfo> resultCodeTable();

/// The row of a code. Thread-safe.
const ResultCodeInfo &info(ResultCode code);

/// The row of the code with this number, if there is one. Thread-safe.
std::optional<ResultCodeInfo> findResultCode(int number);

/// True if the code guarantees that no task of the submission was started. Thread-safe.
bool isNotRun(ResultCode code);
} // namespace Anvilcart
