#include "caller/jobcodec.h"

#include <boost/json.hpp>

#include <array>
#include <new>
#include <optional>
#include <unordered_set>

namespace Anvilcart
{
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{
constexpr std::size_t MaxIdLength = 128;
constexpr std::size_t MaxTasks = 750;
constexpr std::int64_t MaxTimeMs = 3'600'000;
constexpr std::int64_t MaxKeyExpirySeconds = 7 * 24 * 3600;
constexpr std::int64_t MaxSize = 16'777'216;
constexpr std::size_t MaxParsedBytes = 32 * 1024 * 1024;
constexpr std::size_t ParseBlockBytes = 4096;
constexpr auto MillisecondsPerSecond = 1000;

/// Memory for one parsed body; a body of many tiny values would otherwise take many times its own length.
class BoundedMemory : public json::memory_resource
{
private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override
    {
        if (bytes > m_left) {
            throw std::bad_alloc();
        }
        m_left -= bytes;
        return m_upstream->allocate(bytes, alignment);
    }

    void do_deallocate(void *block, std::size_t bytes, std::size_t alignment) override
    {
        m_left += bytes;
        m_upstream->deallocate(block, bytes, alignment);
    }

    bool do_is_equal(const json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    std::size_t m_left = MaxParsedBytes;
    json::storage_ptr m_upstream;
};

/// Parses with all memory from the resource; json::error::exception when it is used up.
json::value parseBounded(const std::string &body, boost::system::error_code &error, json::memory_resource *memory)
{
    try {
        std::array<unsigned char, ParseBlockBytes> stack {};
        json::parser parser(json::storage_ptr(memory), json::parse_options(), stack.data(), stack.size());
        parser.reset(json::storage_ptr(memory));
        parser.write(body, error);
        return error ? json::value() : parser.release();
    } catch (const std::bad_alloc &) {
        error = json::error::exception;
        return {};
    }
}

/// Reads fields of one JSON object and keeps the first mistake.
class FieldReader
{
public:
    FieldReader(const json::object &object, std::string where)
        : m_object(object)
        , m_where(std::move(where))
    {
    }

    std::string id(std::string_view key)
    {
        auto value = text(key, true);
        if (value.empty() || value.size() > MaxIdLength) {
            reject(key, "must be a text of 1 to " + std::to_string(MaxIdLength) + " bytes");
        }
        return value;
    }

    std::string text(std::string_view key, bool required)
    {
        const auto *value = m_object.if_contains(key);
        if (value == nullptr) {
            if (required) {
                reject(key, "is missing");
            }
            return {};
        }
        if (!value->is_string()) {
            reject(key, "must be a text");
            return {};
        }
        return std::string(value->get_string());
    }

    std::int64_t number(std::string_view key, std::int64_t least, std::int64_t most, std::int64_t fallback)
    {
        const auto *value = m_object.if_contains(key);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_int64() || value->get_int64() < least || value->get_int64() > most) {
            reject(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
            return fallback;
        }
        return value->get_int64();
    }

    bool flag(std::string_view key, bool fallback)
    {
        const auto *value = m_object.if_contains(key);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_bool()) {
            reject(key, "must be true or false");
            return fallback;
        }
        return value->get_bool();
    }

    const json::object *object(std::string_view key)
    {
        const auto *value = m_object.if_contains(key);
        if (value != nullptr && !value->is_object()) {
            reject(key, "must be an object");
            return nullptr;
        }
        return value != nullptr ? &value->get_object() : nullptr;
    }

    void reject(std::string_view key, const std::string &what)
    {
        if (!m_error) {
            m_error = RequestError {ResultCode::InvalidField, m_where + "'" + std::string(key) + "' " + what};
        }
    }

    const std::optional<RequestError> &error() const
    {
        return m_error;
    }

private:
    const json::object &m_object;
    std::string m_where;
    std::optional<RequestError> m_error;
};

TaskSize readSize(FieldReader &reader)
{
    TaskSize size;
    const auto *object = reader.object("size");
    if (object == nullptr) {
        return size;
    }
    FieldReader fields(*object, "");
    size.cpus = static_cast<std::uint32_t>(fields.number("cpus", 0, MaxSize, 0));
    size.memoryMb = static_cast<std::uint32_t>(fields.number("memory_mb", 0, MaxSize, 0));
    size.accelerators = static_cast<std::uint32_t>(fields.number("accelerators", 0, MaxSize, 0));
    if (fields.error()) {
        reader.reject("size", "has a mistake: " + fields.error()->message);
    }
    return size;
}

leaf::result<TaskSpec> readTask(const json::value &value, std::size_t index)
{
    const auto where = "task " + std::to_string(index + 1) + ": ";
    if (!value.is_object()) {
        return leaf::new_error(RequestError {ResultCode::InvalidField, where + "must be an object"});
    }
    FieldReader reader(value.get_object(), where);
    TaskSpec task;
    task.id = reader.id("id");
    task.kind = reader.id("kind");
    task.payload = reader.text("payload", false);
    task.declaredRunTime = std::chrono::milliseconds(reader.number("run_time_ms", 0, MaxTimeMs, 0));
    task.size = readSize(reader);
    task.idempotent = reader.flag("idempotent", true);
    if (!task.idempotent) {
        task.idempotencyKey = reader.id("idempotency_key");
        task.keyExpiry = std::chrono::seconds(reader.number("key_expiry_s", 1, MaxKeyExpirySeconds, 0));
        if (task.keyExpiry.count() == 0) {
            reader.reject("key_expiry_s", "is missing");
        }
    }
    if (reader.error()) {
        return leaf::new_error(*reader.error());
    }
    return task;
}

leaf::result<std::vector<TaskSpec>> readTasks(const json::object &object)
{
    const auto *value = object.if_contains("tasks");
    if (value == nullptr || !value->is_array()) {
        return leaf::new_error(RequestError {ResultCode::InvalidField, "'tasks' must be a list"});
    }
    const auto &list = value->get_array();
    if (list.empty() || list.size() > MaxTasks) {
        return leaf::new_error(
            RequestError {ResultCode::TaskCountOutOfRange,
                          "'tasks' has " + std::to_string(list.size()) + " entries; send 1 to " + std::to_string(MaxTasks)});
    }
    std::vector<TaskSpec> tasks;
    std::unordered_set<std::string> ids;
    for (std::size_t i = 0; i < list.size(); ++i) {
        BOOST_LEAF_AUTO(task, readTask(list[i], i));
        if (!ids.insert(task.id).second) {
            return leaf::new_error(RequestError {ResultCode::DuplicateTask, "task id '" + task.id + "' stands twice"});
        }
        tasks.push_back(std::move(task));
    }
    return tasks;
}

json::object encodeTask(const TaskSpec &task)
{
    json::object object {
        {"id", task.id},
        {"kind", task.kind},
        {"payload", task.payload},
        {"run_time_ms", task.declaredRunTime.count()},
        {"size", json::object {{"cpus", task.size.cpus}, {"memory_mb", task.size.memoryMb}, {"accelerators", task.size.accelerators}}},
        {"idempotent", task.idempotent}};
    if (!task.idempotent) {
        object["idempotency_key"] = task.idempotencyKey;
        object["key_expiry_s"] = task.keyExpiry.count();
    }
    return object;
}

std::string retryAfterSeconds(std::chrono::milliseconds duration)
{
    return std::to_string((duration.count() + MillisecondsPerSecond - 1) / MillisecondsPerSecond);
}
} // namespace

leaf::result<JobSpec> decodeJob(const std::string &body)
{
    boost::system::error_code error;
    BoundedMemory memory;
    json::monotonic_resource arena(ParseBlockBytes, json::storage_ptr(&memory));
    const auto value = parseBounded(body, error, &arena);
    if (error == json::error::exception) {
        return leaf::new_error(RequestError {ResultCode::BodyTooLarge, "the body holds too many values"});
    }
    if (error) {
        return leaf::new_error(RequestError {ResultCode::MalformedBody, "the body is not valid JSON: " + error.message()});
    }
    if (!value.is_object()) {
        return leaf::new_error(RequestError {ResultCode::MalformedBody, "the body must be a JSON object"});
    }
    FieldReader reader(value.get_object(), "");
    JobSpec job;
    job.submission = reader.id("submission");
    job.team = reader.id("team");
    job.deadline = std::chrono::milliseconds(reader.number("deadline_ms", 1, MaxTimeMs, 0));
    if (reader.error()) {
        return leaf::new_error(*reader.error());
    }
    BOOST_LEAF_ASSIGN(job.tasks, readTasks(value.get_object()));
    return job;
}

std::string encodeJob(const JobSpec &job)
{
    json::array tasks;
    for (const auto &task : job.tasks) {
        tasks.push_back(encodeTask(task));
    }
    json::object object {{"submission", job.submission}, {"team", job.team}, {"tasks", std::move(tasks)}};
    if (job.deadline.count() > 0) {
        object["deadline_ms"] = job.deadline.count();
    }
    return json::serialize(object);
}

HttpResponse encodeAnswer(const JobAnswer &answer)
{
    const auto &row = info(answer.code);
    json::object object {{"submission", answer.submission}, {"code", static_cast<int>(answer.code)}, {"result", row.name}};
    HttpResponse response;
    response.status = row.httpStatus;
    if (answer.code == ResultCode::Complete) {
        json::array tasks;
        for (const auto &result : answer.results) {
            tasks.push_back(json::object {{"id", result.id}, {"output", result.output}});
        }
        object["tasks"] = std::move(tasks);
    } else {
        object["message"] = answer.message;
        object["not_run"] = isNotRun(answer.code);
        object["retry_after_ms"] = answer.retryAfter.count();
        if (answer.retryAfter.count() > 0) {
            response.headers.push_back({"Retry-After", retryAfterSeconds(answer.retryAfter)});
        }
    }
    response.body = json::serialize(object);
    return response;
}

JobAnswer decodeAnswer(const std::string &body)
{
    JobAnswer answer;
    try {
        const auto value = json::parse(body);
        const auto &object = value.as_object();
        answer.submission = json::value_to<std::string>(object.at("submission"));
        answer.code = static_cast<ResultCode>(object.at("code").to_number<std::uint16_t>());
        if (answer.code != ResultCode::Complete) {
            answer.message = json::value_to<std::string>(object.at("message"));
            answer.retryAfter = std::chrono::milliseconds(object.at("retry_after_ms").to_number<std::int64_t>());
            return answer;
        }
        for (const auto &task : object.at("tasks").as_array()) {
            answer.results.push_back({json::value_to<std::string>(task.at("id")), json::value_to<std::string>(task.at("output"))});
        }
    } catch (const std::exception &error) {
        answer.code = ResultCode::InternalError;
        answer.message = std::string("the answer cannot be read: ") + error.what();
    }
    return answer;
}
} // namespace Anvilcart
