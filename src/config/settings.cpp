#include "config/settings.h"

#include "config/yamlreader.h"

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
constexpr NumberRange ThreadRange {1, 64};
constexpr NumberRange DrainRangeSeconds {1, 3600};

Endpoint readEndpoint(YamlReader &reader, const std::string &key)
{
    const auto text = reader.requiredText(key);
    const auto endpoint = parseEndpoint(text);
    if (!endpoint && !text.empty()) {
        reader.reject(key, "'" + key + "' is " + text, "write an IPv4 address and a port, as 10.0.0.1:7000");
    }
    return endpoint.value_or(Endpoint());
}

std::vector<Endpoint> readPlatform(YamlReader &reader)
{
    std::vector<Endpoint> endpoints;
    for (const auto &text : reader.texts("platform")) {
        if (const auto endpoint = parseEndpoint(text)) {
            endpoints.push_back(*endpoint);
        } else {
            reader.reject("platform", "'platform' holds " + text, "write a list of IPv4 addresses and ports, as [10.0.0.1:9000]");
        }
    }
    if (endpoints.empty()) {
        reader.reject("platform", "'platform' names no address", "write a list of IPv4 addresses and ports, as [10.0.0.1:9000]");
    }
    return endpoints;
}
} // namespace

leaf::result<Settings> parseSettings(const std::string &content, const std::string &file)
{
    std::vector<ConfigurationMistake> mistakes;
    YamlReader reader(parseYaml(content, file, mistakes), file, mistakes);
    Settings settings;
    settings.host = reader.requiredText("host");
    settings.zone = reader.requiredText("availability_zone");
    settings.callerDoor = readEndpoint(reader, "caller_door");
    settings.operatorDoor = readEndpoint(reader, "operator_door");
    settings.peerDoor = readEndpoint(reader, "peer_door");
    settings.platform = readPlatform(reader);
    settings.ioThreads = static_cast<std::uint32_t>(reader.number("io_threads", ThreadRange, settings.ioThreads));
    settings.drainLimit = Seconds(reader.number("drain_limit_s", DrainRangeSeconds, settings.drainLimit.count()));
    reader.rejectUnknownKeys();
    if (!mistakes.empty()) {
        return leaf::new_error(ConfigurationError {std::move(mistakes)});
    }
    return settings;
}
} // namespace Anvilcart
