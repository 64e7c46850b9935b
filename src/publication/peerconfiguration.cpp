#include "publication/peerconfiguration.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

std::string encode(const PeerConfiguration &configuration)
{
    return json::serialize(json::object {
        {"next", configuration.next}, {"established", configuration.established}, {"record", json::parse(encode(configuration.record))}});
}

std::optional<PeerConfiguration> decodePeerConfiguration(const std::string &body)
{
    try {
        const auto value = json::parse(body);
        const auto record = decodeConfigurationRecord(json::serialize(value.at("record")));
        if (!record || !record->isContentReadable) {
            return std::nullopt;
        }
        PeerConfiguration configuration;
        configuration.record = *record;
        configuration.next = value.at("next").to_number<std::uint64_t>();
        configuration.established = value.at("established").as_bool();
        return configuration;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
} // namespace Anvilcart
