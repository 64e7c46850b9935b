#pragma once

#include "model/job.h"
#include "net/http.h"

#include <boost/leaf/result.hpp>

#include <string>

namespace Anvilcart
{
/// Why a body is not a job. Carried as a LEAF error object.
struct RequestError
{
    ResultCode code = ResultCode::MalformedBody;
    std::string message;
};

/// Reads and checks the body of a submission. Error: RequestError. Thread-safe.
boost::leaf::result<JobSpec> decodeJob(const std::string &body);

/// The body that decodeJob() reads. Thread-safe.
std::string encodeJob(const JobSpec &job);

/// The whole HTTP answer to a submission. Thread-safe.
HttpResponse encodeAnswer(const JobAnswer &answer);

/// Reads the body that encodeAnswer() wrote; a body that is not that becomes InternalError. Thread-safe.
JobAnswer decodeAnswer(const std::string &body);
} // namespace Anvilcart
