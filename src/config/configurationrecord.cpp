#include "config/configurationrecord.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

std::string encode(const ConfigurationRecord &record)
{
    json::array files;
    for (const auto &file : record.files) {
        files.push_back(json::object {{"name", file.name}, {"content", file.content}});
    }
    return json::serialize(json::object {{"id", record.id},
                                         {"parent", record.parent},
                                         {"version", record.version},
                                         {"author", record.author},
                                         {"comment", record.comment},
                                         {"files", std::move(files)}});
}

std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes)
{
    try {
        const auto value = json::parse(bytes);
        const auto &object = value.as_object();
        ConfigurationRecord record;
        record.id = json::value_to<std::string>(object.at("id"));
        record.parent = object.at("parent").to_number<std::uint64_t>();
        record.version = object.at("version").to_number<std::uint64_t>();
        record.author = json::value_to<std::string>(object.at("author"));
        record.comment = json::value_to<std::string>(object.at("comment"));
        for (const auto &file : object.at("files").as_array()) {
            record.files.push_back({json::value_to<std::string>(file.at("name")), json::value_to<std::string>(file.at("content"))});
        }
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
} // namespace Anvilcart
