#include "config/configurationparser.h"

#include "config/configurationerror.h"
#include "config/yamlreader.h"

#include <algorithm>
#include <array>
#include <set>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
constexpr NumberRange SlotRange {1, 1024};
constexpr NumberRange ConnectionRange {1, 4096};
constexpr NumberRange CpuRange {0, 4096};
constexpr NumberRange MemoryRangeMb {0, 16'777'216};
constexpr NumberRange AcceleratorRange {0, 64};
constexpr NumberRange JobTaskRange {1, 750};
constexpr NumberRange QueuedTaskRange {1, 10'000'000};
constexpr NumberRange DeadlineRangeMs {1, 3'600'000};
constexpr NumberRange EntryHostRange {0, 1000};
constexpr NumberRange PercentRange {0, 100};
constexpr NumberRange AttemptRange {1, 1000};
constexpr NumberRange BudgetPercentRange {0, 10'000};
constexpr NumberRange BudgetBurstRange {0, 1'000'000};
constexpr NumberRange PauseRangeMs {1, 600'000};
constexpr NumberRange RunningTaskRange {1, 1'000'000};

/// One value of an enumeration and the name that the files use.
template<typename Value>
struct NamedValue
{
    std::string_view name;
    Value value;
};

template<typename Value>
NamedValue(std::string_view, Value) -> NamedValue<Value>;

constexpr std::array QueueOrders = {
    NamedValue {"fifo", QueueOrderKind::Fifo},
    NamedValue {"fewest_unstarted_first", QueueOrderKind::FewestUnstartedFirst},
};

constexpr std::array SlotSharings = {
    NamedValue {"fixed_shares", SlotSharingKind::FixedShares},
    NamedValue {"loans", SlotSharingKind::Loans},
    NamedValue {"blind_push", SlotSharingKind::BlindPush},
};

template<typename Value, std::size_t Count>
Value readChoice(YamlReader &reader, const std::string &key, const std::array<NamedValue<Value>, Count> &choices, Value fallback)
{
    const auto text = reader.text(key, "");
    if (text.empty()) {
        return fallback;
    }
    std::string allowed;
    for (const auto &choice : choices) {
        if (choice.name == text) {
            return choice.value;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(choice.name);
    }
    reader.reject(key, "'" + key + "' is " + text, "write one of: " + allowed);
    return fallback;
}

TaskSize readCapacity(YamlReader &reader, const TaskSize &fallback)
{
    TaskSize size;
    size.cpus = static_cast<std::uint32_t>(reader.number("cpus", CpuRange, fallback.cpus));
    size.memoryMb = static_cast<std::uint32_t>(reader.number("memory_mb", MemoryRangeMb, fallback.memoryMb));
    size.accelerators = static_cast<std::uint32_t>(reader.number("accelerators", AcceleratorRange, fallback.accelerators));
    return size;
}

void readCommonTargetKeys(YamlReader &reader, TargetSpec &target)
{
    target.slots = static_cast<std::uint32_t>(reader.number("slots", SlotRange, target.slots));
    target.connections = static_cast<std::uint32_t>(reader.number("connections", ConnectionRange, target.connections));
    target.capacity = readCapacity(reader, target.capacity);
}

TargetSpec readTarget(YamlReader &reader, const TargetSpec &defaults, const std::string &zone)
{
    TargetSpec target = defaults;
    target.zone = zone;
    target.name = reader.requiredText("name");
    target.rack = reader.text("rack", "");
    const auto address = reader.requiredText("address");
    if (const auto endpoint = parseEndpoint(address)) {
        target.endpoint = *endpoint;
    } else {
        reader.reject("address", "'address' is " + address, "write an IPv4 address and a port, as 10.0.0.1:8000");
    }
    readCommonTargetKeys(reader, target);
    reader.rejectUnknownKeys();
    return target;
}

LimitSpec readLimits(YamlReader reader)
{
    LimitSpec limits;
    limits.maxTasksPerJob = static_cast<std::uint32_t>(reader.number("max_tasks_per_job", JobTaskRange, limits.maxTasksPerJob));
    limits.maxQueuedTasks = static_cast<std::uint32_t>(reader.number("max_queued_tasks", QueuedTaskRange, limits.maxQueuedTasks));
    limits.defaultDeadline = Milliseconds(reader.number("default_deadline_ms", DeadlineRangeMs, limits.defaultDeadline.count()));
    limits.maxDeadline = Milliseconds(reader.number("max_deadline_ms", DeadlineRangeMs, limits.maxDeadline.count()));
    reader.rejectUnknownKeys();
    return limits;
}

PolicySpec readPolicy(YamlReader reader)
{
    PolicySpec policy;
    policy.queueOrder = readChoice(reader, "queue_order", QueueOrders, policy.queueOrder);
    policy.slotSharing = readChoice(reader, "slot_sharing", SlotSharings, policy.slotSharing);
    policy.overtake = Milliseconds(reader.number("overtake_ms", PauseRangeMs, policy.overtake.count()));
    reader.rejectUnknownKeys();
    return policy;
}

HealthSpec readHealth(YamlReader reader)
{
    HealthSpec health;
    health.maxEjectedPercent = static_cast<std::uint32_t>(reader.number("max_ejected_percent", PercentRange, health.maxEjectedPercent));
    health.ejectAtFailurePercent =
        static_cast<std::uint32_t>(reader.number("eject_at_failure_percent", PercentRange, health.ejectAtFailurePercent));
    health.firstEjection = Milliseconds(reader.number("first_ejection_ms", PauseRangeMs, health.firstEjection.count()));
    health.longestEjection = Milliseconds(reader.number("longest_ejection_ms", PauseRangeMs, health.longestEjection.count()));
    health.stallLimit = Milliseconds(reader.number("stall_limit_ms", PauseRangeMs, health.stallLimit.count()));
    reader.rejectUnknownKeys();
    return health;
}

RetrySpec readRetries(YamlReader reader)
{
    RetrySpec retries;
    retries.maxAttempts = static_cast<std::uint32_t>(reader.number("max_attempts", AttemptRange, retries.maxAttempts));
    retries.budgetPercent = static_cast<std::uint32_t>(reader.number("budget_percent", BudgetPercentRange, retries.budgetPercent));
    retries.budgetBurst = static_cast<std::uint32_t>(reader.number("budget_burst", BudgetBurstRange, retries.budgetBurst));
    reader.rejectUnknownKeys();
    return retries;
}

TeamSpec readTeam(YamlReader &reader)
{
    TeamSpec team;
    team.name = reader.requiredText("name");
    team.maxRunningTasks = static_cast<std::uint32_t>(reader.number("max_running_tasks", RunningTaskRange, RunningTaskRange.most));
    reader.rejectUnknownKeys();
    return team;
}

TargetSpec readTargetDefaults(YamlReader reader)
{
    TargetSpec defaults;
    readCommonTargetKeys(reader, defaults);
    reader.rejectUnknownKeys();
    return defaults;
}

void rejectDuplicateTargets(const Configuration &configuration, std::vector<ConfigurationMistake> &mistakes)
{
    std::set<std::string> names;
    for (const auto &target : configuration.targets) {
        if (!names.insert(target.name).second) {
            mistakes.push_back(
                {"sites/" + target.zone + ".yaml", 0, "the target '" + target.name + "' stands twice", "give each target its own name"});
        }
    }
}
} // namespace

leaf::result<Configuration> parseConfiguration(const std::vector<ConfigurationFile> &files)
{
    std::vector<ConfigurationMistake> mistakes;
    Configuration configuration;
    TargetSpec defaults;
    for (const auto &file : files) {
        YamlReader root(parseYaml(file.content, file.name, mistakes), file.name, mistakes);
        if (file.name == BaseFileName) {
            configuration.limits = readLimits(root.mapping("limits"));
            configuration.policy = readPolicy(root.mapping("policy"));
            configuration.health = readHealth(root.mapping("health"));
            configuration.retries = readRetries(root.mapping("retries"));
            defaults = readTargetDefaults(root.mapping("target_defaults"));
            for (auto &team : root.list("teams")) {
                configuration.teams.push_back(readTeam(team));
            }
        } else {
            const auto zone = root.requiredText("zone");
            const auto entryHosts = static_cast<std::uint32_t>(root.number("entry_hosts", EntryHostRange, 0));
            configuration.zones.push_back({zone, entryHosts});
            for (auto &target : root.list("targets")) {
                configuration.targets.push_back(readTarget(target, defaults, zone));
            }
        }
        root.rejectUnknownKeys();
    }
    rejectDuplicateTargets(configuration, mistakes);
    if (!mistakes.empty()) {
        return leaf::new_error(ConfigurationError {std::move(mistakes)});
    }
    return configuration;
}
} // namespace Anvilcart
