#include "config/configurationparser.h"

#include "config/configurationerror.h"
#include "config/yamlreader.h"

#include <set>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
/// Reads the files of one set and finds what stands twice over all of them.
class ConfigurationReader
{
public:
    leaf::result<Configuration> read(const std::vector<ConfigurationFile> &files)
    {
        for (const auto &file : files) {
            readFile(file);
        }
        if (!m_mistakes.empty()) {
            sortByPlace(m_mistakes);
            return leaf::new_error(ConfigurationError {std::move(m_mistakes)});
        }
        return std::move(m_configuration);
    }

private:
    using Names = std::set<std::string>;

    void readFile(const ConfigurationFile &file)
    {
        const auto schema = file.name == BaseFileName ? SchemaFile::Base : SchemaFile::Overlay;
        const auto mistakesBefore = m_mistakes.size();
        const auto node = parseYaml(file.content, file.name, m_mistakes);
        if (m_mistakes.size() > mistakesBefore) {
            return;
        }
        YamlReader root(node, schema, file.name, m_mistakes);
        if (schema == SchemaFile::Base) {
            readBase(root);
        } else {
            readOverlay(root);
        }
        root.rejectUnknownKeys();
    }

    void readBase(YamlReader &root)
    {
        readLimits(root.mapping("limits"));
        readPolicy(root.mapping("policy"));
        readHealth(root.mapping("health"));
        readRetries(root.mapping("retries"));
        readDefaults(root.mapping("target_defaults"));
        for (auto &team : root.list("teams")) {
            readTeam(team);
        }
    }

    void readOverlay(YamlReader &root)
    {
        const auto zone = root.text("zone");
        rejectDuplicate(root, "zone", zone, m_zones);
        m_configuration.zones.push_back({zone, static_cast<std::uint32_t>(root.number("entry_hosts"))});
        for (auto &target : root.list("targets")) {
            readTarget(target, zone);
        }
    }

    void readLimits(YamlReader reader)
    {
        auto &limits = m_configuration.limits;
        limits.maxTasksPerJob = static_cast<std::uint32_t>(reader.number("max_tasks_per_job"));
        limits.maxQueuedTasks = static_cast<std::uint32_t>(reader.number("max_queued_tasks"));
        limits.defaultDeadline = Milliseconds(reader.number("default_deadline_ms"));
        limits.maxDeadline = Milliseconds(reader.number("max_deadline_ms"));
        limits.maxKeyExpiry = Seconds(reader.number("max_key_expiry_s"));
        if (limits.defaultDeadline > limits.maxDeadline) {
            reader.reject("default_deadline_ms",
                          "'default_deadline_ms' is " + std::to_string(limits.defaultDeadline.count()),
                          "write no more than max_deadline_ms, which is " + std::to_string(limits.maxDeadline.count()));
        }
        reader.rejectUnknownKeys();
    }

    void readPolicy(YamlReader reader)
    {
        m_configuration.policy.queueOrder = reader.choice<QueueOrderKind>("queue_order");
        m_configuration.policy.slotSharing = reader.choice<SlotSharingKind>("slot_sharing");
        m_configuration.policy.overtake = Milliseconds(reader.number("overtake_ms"));
        reader.rejectUnknownKeys();
    }

    void readHealth(YamlReader reader)
    {
        auto &health = m_configuration.health;
        health.maxEjectedPercent = static_cast<std::uint32_t>(reader.number("max_ejected_percent"));
        health.ejectAtFailurePercent = static_cast<std::uint32_t>(reader.number("eject_at_failure_percent"));
        health.firstEjection = Milliseconds(reader.number("first_ejection_ms"));
        health.longestEjection = Milliseconds(reader.number("longest_ejection_ms"));
        health.stallLimit = Milliseconds(reader.number("stall_limit_ms"));
        reader.rejectUnknownKeys();
    }

    void readRetries(YamlReader reader)
    {
        auto &retries = m_configuration.retries;
        retries.maxAttempts = static_cast<std::uint32_t>(reader.number("max_attempts"));
        retries.budgetPercent = static_cast<std::uint32_t>(reader.number("budget_percent"));
        retries.budgetBurst = static_cast<std::uint32_t>(reader.number("budget_burst"));
        reader.rejectUnknownKeys();
    }

    void readDefaults(YamlReader reader)
    {
        m_defaults.slots = static_cast<std::uint32_t>(reader.number("slots"));
        m_defaults.connections = static_cast<std::uint32_t>(reader.number("connections"));
        m_defaults.capacity.cpus = static_cast<std::uint32_t>(reader.number("cpus"));
        m_defaults.capacity.memoryMb = static_cast<std::uint32_t>(reader.number("memory_mb"));
        m_defaults.capacity.accelerators = static_cast<std::uint32_t>(reader.number("accelerators"));
        reader.rejectUnknownKeys();
    }

    void readTeam(YamlReader &reader)
    {
        TeamSpec team;
        team.name = reader.text("name");
        team.maxRunningTasks = static_cast<std::uint32_t>(reader.number("max_running_tasks"));
        rejectDuplicate(reader, "name", team.name, m_teams);
        reader.rejectUnknownKeys();
        m_configuration.teams.push_back(std::move(team));
    }

    void readTarget(YamlReader &reader, const std::string &zone)
    {
        TargetSpec target;
        target.zone = zone;
        target.name = reader.text("name");
        target.rack = reader.text("rack");
        target.endpoint = reader.address("address");
        target.slots = static_cast<std::uint32_t>(reader.number("slots", m_defaults.slots));
        target.connections = static_cast<std::uint32_t>(reader.number("connections", m_defaults.connections));
        target.capacity.cpus = static_cast<std::uint32_t>(reader.number("cpus", m_defaults.capacity.cpus));
        target.capacity.memoryMb = static_cast<std::uint32_t>(reader.number("memory_mb", m_defaults.capacity.memoryMb));
        target.capacity.accelerators = static_cast<std::uint32_t>(reader.number("accelerators", m_defaults.capacity.accelerators));
        rejectDuplicate(reader, "name", target.name, m_targets);
        rejectDuplicate(reader, "address", target.endpoint.address.empty() ? "" : toString(target.endpoint), m_addresses);
        reader.rejectUnknownKeys();
        m_configuration.targets.push_back(std::move(target));
    }

    static void rejectDuplicate(YamlReader &reader, const std::string &key, const std::string &value, Names &known)
    {
        if (!value.empty() && !known.insert(value).second) {
            reader.reject(key, "'" + key + "' is " + value + ", which stands in another entry too", "give each entry its own " + key);
        }
    }

    std::vector<ConfigurationMistake> m_mistakes;
    Configuration m_configuration;
    TargetSpec m_defaults;
    Names m_zones;
    Names m_teams;
    Names m_targets;
    Names m_addresses;
};
} // namespace

leaf::result<Configuration> parseConfiguration(const std::vector<ConfigurationFile> &files)
{
    return ConfigurationReader().read(files);
}
} // namespace Anvilcart
