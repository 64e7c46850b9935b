#include "target/taskcodec.h"

#include <boost/json.hpp>

#include <array>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
constexpr std::array<std::string_view, 4> StateNames = {"finished", "failed", "stopped", "not_started"};

std::string_view toName(RunState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

std::optional<RunState> stateFromName(std::string_view name)
{
    for (std::size_t i = 0; i < StateNames.size(); ++i) {
        if (StateNames[i] == name) {
            return static_cast<RunState>(i);
        }
    }
    return std::nullopt;
}

std::optional<json::object> parseObject(const std::string &body)
{
    boost::system::error_code error;
    auto value = json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint32_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? static_cast<std::uint32_t>(value->get_int64()) : 0;
}

std::optional<RunReply> decodeRunReply(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    const auto state = stateFromName(textOf(*object, "state"));
    if (!state) {
        return std::nullopt;
    }
    return RunReply {textOf(*object, "submission"), textOf(*object, "task"), numberOf(*object, "attempt"), *state, textOf(*object, "text")};
}

NotStartedReason reasonFromText(const std::string &text)
{
    for (std::size_t i = 0; i < NotStartedReasonCount; ++i) {
        const auto reason = static_cast<NotStartedReason>(i);
        if (text == toName(reason)) {
            return reason;
        }
    }
    return NotStartedReason::RefusedByTarget;
}

TaskOutcome toOutcome(RunReply &&reply)
{
    switch (reply.state) {
    case RunState::Finished:
        return TaskFinished {std::move(reply.text)};
    case RunState::Failed:
        return TaskRanAndFailed {std::move(reply.text)};
    case RunState::Stopped:
        return TaskStopped {};
    case RunState::NotStarted:
        return TaskNotStarted {reasonFromText(reply.text)};
    }
    return TaskLost {"the target's answer has an unknown state"};
}
} // namespace

std::string encodeRunRequest(const TaskStart &start)
{
    return json::serialize(json::object {{"submission", start.submission},
                                         {"task", start.task},
                                         {"attempt", start.ref.attempt},
                                         {"kind", start.kind},
                                         {"payload", start.payload},
                                         {"idempotency_key", start.idempotencyKey}});
}

std::optional<RunRequest> decodeRunRequest(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    return RunRequest {textOf(*object, "submission"),
                       textOf(*object, "task"),
                       numberOf(*object, "attempt"),
                       textOf(*object, "kind"),
                       textOf(*object, "payload"),
                       textOf(*object, "idempotency_key")};
}

std::string encodeRunReply(const RunReply &reply)
{
    return json::serialize(json::object {{"submission", reply.submission},
                                         {"task", reply.task},
                                         {"attempt", reply.attempt},
                                         {"state", toName(reply.state)},
                                         {"text", reply.text}});
}

TaskOutcome decodeOutcome(const TaskStart &start, HttpReply &reply)
{
    if (reply.progress == CallProgress::NotSent) {
        return TaskNotStarted {NotStartedReason::ConnectFailed};
    }
    if (reply.progress == CallProgress::Sent) {
        return TaskLost {reply.error};
    }
    auto decoded = decodeRunReply(reply.body);
    if (!decoded) {
        return TaskLost {"the target's answer cannot be read"};
    }
    if (decoded->submission != start.submission || decoded->task != start.task || decoded->attempt != start.ref.attempt) {
        return TaskLost {"the target's answer belongs to another attempt"};
    }
    return toOutcome(std::move(*decoded));
}

std::string encodeStopRequest(const std::string &submission, const std::string &task)
{
    return json::serialize(json::object {{"submission", submission}, {"task", task}});
}
} // namespace Anvilcart
