#include "config/settings.h"

#include "config/yamlreader.h"

namespace Anvilcart
{
namespace leaf = boost::leaf;

leaf::result<Settings> parseSettings(const std::string &content, const std::string &file)
{
    std::vector<ConfigurationMistake> mistakes;
    YamlReader reader(parseYaml(content, file, mistakes), SchemaFile::Settings, file, mistakes);
    Settings settings;
    settings.host = reader.text("host");
    settings.zone = reader.text("availability_zone");
    settings.callerDoor = reader.address("caller_door");
    settings.operatorDoor = reader.address("operator_door");
    settings.peerDoor = reader.address("peer_door");
    settings.platform = reader.addresses("platform");
    settings.peers = reader.addresses("peers");
    settings.ioThreads = static_cast<std::uint32_t>(reader.number("io_threads"));
    settings.drainLimit = Seconds(reader.number("drain_limit_s"));
    settings.carryForwardPeriod = Seconds(reader.number("carry_forward_period_s"));
    reader.rejectUnknownKeys();
    if (!mistakes.empty()) {
        sortByPlace(mistakes);
        return leaf::new_error(ConfigurationError {std::move(mistakes)});
    }
    return settings;
}
} // namespace Anvilcart
