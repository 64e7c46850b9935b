#include "config/configurationrecord.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
/// Reads the fields that decide acceptance; they are the same in every release. Throws where one is missing.
void readDecidingFields(const json::object &object, ConfigurationRecord &record)
{
    record.id = json::value_to<std::string>(object.at("id"));
    record.parent = object.at("parent").to_number<std::uint64_t>();
    record.version = object.at("version").to_number<std::uint64_t>();
    if (const auto *carriedAt = object.if_contains("carried_at")) {
        record.carriedAt = carriedAt->to_number<std::uint64_t>();
    }
}

void readContent(const json::object &object, ConfigurationRecord &record)
{
    record.author = json::value_to<std::string>(object.at("author"));
    record.comment = json::value_to<std::string>(object.at("comment"));
    for (const auto &file : object.at("files").as_array()) {
        record.files.push_back({json::value_to<std::string>(file.at("name")), json::value_to<std::string>(file.at("content"))});
    }
}
} // namespace

std::string encode(const ConfigurationRecord &record)
{
    json::array files;
    for (const auto &file : record.files) {
        files.push_back(json::object {{"name", file.name}, {"content", file.content}});
    }
    json::object object {{"id", record.id},
                         {"parent", record.parent},
                         {"version", record.version},
                         {"author", record.author},
                         {"comment", record.comment},
                         {"files", std::move(files)}};
    if (record.carriedAt) {
        object["carried_at"] = *record.carriedAt;
    }
    return json::serialize(object);
}

std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes)
{
    ConfigurationRecord record;
    json::value value;
    try {
        value = json::parse(bytes);
        readDecidingFields(value.as_object(), record);
    } catch (const std::exception &) {
        return std::nullopt;
    }
    try {
        readContent(value.as_object(), record);
    } catch (const std::exception &) {
        record.isContentReadable = false;
    }
    return record;
}
} // namespace Anvilcart
