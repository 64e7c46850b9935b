#include "operator/hoststatus.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
template<typename Number>
Number number(const json::object &object, std::string_view key)
{
    return object.at(key).to_number<Number>();
}

json::array encodeRefusals(const std::vector<AnswerCount> &refusals)
{
    json::array list;
    for (const auto &refusal : refusals) {
        list.push_back(
            json::object {{"code", static_cast<int>(refusal.code)}, {"name", info(refusal.code).name}, {"count", refusal.count}});
    }
    return list;
}

HostStatus decode(const json::object &object)
{
    HostStatus status;
    status.host = json::value_to<std::string>(object.at("host"));
    status.zone = json::value_to<std::string>(object.at("availability_zone"));
    status.incarnation = number<std::uint64_t>(object, "incarnation");
    status.version = number<std::uint64_t>(object, "version");
    status.acceptedVersion = number<std::uint64_t>(object, "accepted_version");
    status.recordId = json::value_to<std::string>(object.at("record_id"));
    status.inForceSince = number<std::int64_t>(object, "in_force_since");
    status.established = object.at("established").as_bool();
    status.ready = object.at("ready").as_bool();
    status.draining = object.at("draining").as_bool();
    status.skippedRecords = number<std::uint64_t>(object, "skipped_records");
    status.queuedTasks = number<std::uint64_t>(object, "queued_tasks");
    status.targetsInService = number<std::uint32_t>(object, "targets_in_service");
    status.targetsLeaving = number<std::uint32_t>(object, "targets_leaving");
    status.ownSlots = number<std::uint32_t>(object, "own_slots");
    status.freeSlots = number<std::uint32_t>(object, "free_slots");
    for (const auto &refusal : object.at("refusals").as_array()) {
        const auto &row = refusal.as_object();
        status.refusals.push_back({static_cast<ResultCode>(number<int>(row, "code")), number<std::uint64_t>(row, "count")});
    }
    return status;
}
} // namespace

std::string encode(const HostStatus &status)
{
    return json::serialize(json::object {{"host", status.host},
                                         {"availability_zone", status.zone},
                                         {"incarnation", status.incarnation},
                                         {"version", status.version},
                                         {"accepted_version", status.acceptedVersion},
                                         {"record_id", status.recordId},
                                         {"in_force_since", status.inForceSince},
                                         {"established", status.established},
                                         {"ready", status.ready},
                                         {"draining", status.draining},
                                         {"skipped_records", status.skippedRecords},
                                         {"queued_tasks", status.queuedTasks},
                                         {"targets_in_service", status.targetsInService},
                                         {"targets_leaving", status.targetsLeaving},
                                         {"own_slots", status.ownSlots},
                                         {"free_slots", status.freeSlots},
                                         {"refusals", encodeRefusals(status.refusals)}});
}

std::optional<HostStatus> decodeHostStatus(const std::string &body)
{
    try {
        return decode(json::parse(body).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
} // namespace Anvilcart
