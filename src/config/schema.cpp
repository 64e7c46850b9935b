#include "config/schema.h"

#include "config/policynames.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace Anvilcart
{
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
constexpr NumberRange KeyExpiryRangeSeconds {60, 604'800};
constexpr NumberRange EntryHostRange {0, 1000};
constexpr NumberRange PercentRange {0, 100};
constexpr NumberRange AttemptRange {1, 1000};
constexpr NumberRange BudgetPercentRange {0, 10'000};
constexpr NumberRange BudgetBurstRange {0, 1'000'000};
constexpr NumberRange PauseRangeMs {1, 600'000};
constexpr NumberRange RunningTaskRange {1, 1'000'000};
constexpr NumberRange ThreadRange {1, 64};
constexpr NumberRange DrainRangeSeconds {1, 3600};
constexpr NumberRange CarryForwardRangeSeconds {1, 86'400};

constexpr SchemaKey section(SchemaFile file, std::string_view path, std::string_view meaning)
{
    return {file, path, ValueType::Section, meaning};
}

constexpr SchemaKey list(SchemaFile file, std::string_view path, std::string_view meaning)
{
    return {file, path, ValueType::List, meaning};
}

constexpr SchemaKey requiredKey(SchemaFile file, std::string_view path, ValueType type, std::string_view meaning)
{
    return {file, path, type, meaning, true};
}

constexpr SchemaKey text(SchemaFile file, std::string_view path, std::string_view meaning)
{
    return {file, path, ValueType::Text, meaning};
}

constexpr SchemaKey number(
    SchemaFile file, std::string_view path, NumberRange range, std::string_view unit, std::string_view fallback, std::string_view meaning)
{
    return {file, path, ValueType::Number, meaning, false, fallback, range, unit};
}

constexpr SchemaKey choice(
    SchemaFile file, std::string_view path, std::span<const std::string_view> choices, std::string_view fallback, std::string_view meaning)
{
    return {file, path, ValueType::Choice, meaning, false, fallback, {}, {}, choices};
}

constexpr std::string_view AsInDefaults = "as in target_defaults";

constexpr auto Base = SchemaFile::Base;
constexpr auto Overlay = SchemaFile::Overlay;
constexpr auto Process = SchemaFile::Settings;

constexpr std::array Table = {
    section(Base, "limits", "Bounds that hold for every job and queue."),
    number(Base, "limits.max_tasks_per_job", JobTaskRange, "tasks", "750", "Larger jobs are refused for good."),
    number(Base,
           "limits.max_queued_tasks",
           QueuedTaskRange,
           "tasks",
           "20000",
           "A job that would not fit into an entry host's queue is refused."),
    number(Base, "limits.default_deadline_ms", DeadlineRangeMs, "ms", "30000", "The deadline of a job that names none."),
    number(Base, "limits.max_deadline_ms", DeadlineRangeMs, "ms", "300000", "Longer deadlines are cut to this."),
    number(Base,
           "limits.max_key_expiry_s",
           KeyExpiryRangeSeconds,
           "s",
           "86400",
           "Longer idempotency keys are refused; less than the log keeps its records."),
    section(Base, "policy", "How work is ordered and shared."),
    choice(Base, "policy.queue_order", QueueOrderNames, "fewest_unstarted_first", "The order in which waiting jobs start tasks."),
    choice(Base, "policy.slot_sharing", SlotSharingNames, "loans", "How the entry hosts of an availability zone share its slots."),
    number(Base,
           "policy.overtake_ms",
           PauseRangeMs,
           "ms",
           "50",
           "How much later a job may come and still overtake, for each unstarted task that the other has more."),
    section(Base, "health", "When a target is ejected, and for how long."),
    number(Base,
           "health.max_ejected_percent",
           PercentRange,
           "%",
           "30",
           "The most targets of an availability zone that are ejected at once; 0 turns ejection off."),
    number(
        Base, "health.eject_at_failure_percent", PercentRange, "%", "50", "The failures among a target's latest outcomes that eject it."),
    number(Base, "health.first_ejection_ms", PauseRangeMs, "ms", "1000", "The first ejection's length; it doubles with each one in a row."),
    number(Base, "health.longest_ejection_ms", PauseRangeMs, "ms", "30000", "The longest ejection."),
    number(
        Base, "health.stall_limit_ms", PauseRangeMs, "ms", "10000", "A target that holds tasks and has ended none for so long is stalled."),
    section(Base, "retries", "How often tasks that provably did not start are tried again."),
    number(Base, "retries.max_attempts", AttemptRange, "starts", "10", "Starts of one task, the first included."),
    number(Base, "retries.budget_percent", BudgetPercentRange, "%", "20", "Retries for each hundred first starts."),
    number(Base, "retries.budget_burst", BudgetBurstRange, "retries", "100", "Retries that may come at once."),
    section(Base, "target_defaults", "What holds for every target that does not say otherwise."),
    number(Base, "target_defaults.slots", SlotRange, "tasks", "8", "Tasks that run on the target at once."),
    number(Base, "target_defaults.connections", ConnectionRange, "connections", "64", "Connections that the target accepts."),
    number(Base, "target_defaults.cpus", CpuRange, "processors", "0", "Processors that tasks may ask for."),
    number(Base, "target_defaults.memory_mb", MemoryRangeMb, "MB", "0", "Memory that tasks may ask for."),
    number(Base, "target_defaults.accelerators", AcceleratorRange, "accelerators", "0", "Accelerators that tasks may ask for."),
    list(Base, "teams", "The teams that may submit jobs; where none is named, every team may."),
    requiredKey(Base, "teams[].name", ValueType::Text, "The name that jobs carry."),
    number(Base,
           "teams[].max_running_tasks",
           RunningTaskRange,
           "tasks",
           "1000000",
           "Tasks of the team that run at once, over all availability zones."),
    requiredKey(Overlay, "zone", ValueType::Text, "The availability zone that this overlay describes."),
    number(Overlay,
           "entry_hosts",
           EntryHostRange,
           "hosts",
           "0",
           "The most entry hosts that serve the zone at once, by which quotas are shared out; 0 means those that are heard."),
    list(Overlay, "targets", "The targets of the availability zone."),
    requiredKey(Overlay, "targets[].name", ValueType::Text, "The target's name, as in the platform's host list; used once over all files."),
    requiredKey(Overlay, "targets[].address", ValueType::Address, "Where the target listens; used once over all files."),
    text(Overlay, "targets[].rack", "The rack that the target stands in."),
    number(Overlay, "targets[].slots", SlotRange, "tasks", AsInDefaults, "Tasks that run on the target at once."),
    number(Overlay, "targets[].connections", ConnectionRange, "connections", AsInDefaults, "Connections that the target accepts."),
    number(Overlay, "targets[].cpus", CpuRange, "processors", AsInDefaults, "Processors that tasks may ask for."),
    number(Overlay, "targets[].memory_mb", MemoryRangeMb, "MB", AsInDefaults, "Memory that tasks may ask for."),
    number(Overlay, "targets[].accelerators", AcceleratorRange, "accelerators", AsInDefaults, "Accelerators that tasks may ask for."),
    requiredKey(Process, "host", ValueType::Text, "The name of this entry host, as in the platform's host list."),
    requiredKey(Process, "availability_zone", ValueType::Text, "The availability zone of this entry host."),
    requiredKey(Process, "caller_door", ValueType::Address, "Where callers and the balancer reach this host."),
    requiredKey(
        Process, "operator_door", ValueType::Address, "Where operators' verbs, and peers without a configuration, reach this host."),
    requiredKey(Process, "peer_door", ValueType::Address, "Where the other entry hosts reach this host."),
    requiredKey(Process, "platform", ValueType::AddressList, "The platform's addresses, tried in turn."),
    SchemaKey {Process,
               "peers",
               ValueType::AddressList,
               "Operator doors of other entry hosts, asked for the configuration when the platform is down."},
    number(Process, "io_threads", ThreadRange, "threads", "2", "Threads that serve connections."),
    number(Process, "drain_limit_s", DrainRangeSeconds, "s", "30", "Time that work in flight gets to end after SIGTERM."),
    number(Process,
           "carry_forward_period_s",
           CarryForwardRangeSeconds,
           "s",
           "3600",
           "The current version is repeated in the log this often; keep it below a quarter of the log's retention."),
};

bool isNameBelow(std::string_view path, std::string_view parent)
{
    const auto prefix = parent.empty() ? std::string() : std::string(parent) + ".";
    return path.starts_with(prefix) && path.find('.', prefix.size()) == std::string_view::npos;
}

std::string join(std::span<const std::string_view> names)
{
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : ", ") + std::string(name);
    }
    return text;
}

std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const auto replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}
} // namespace

std::span<const SchemaKey> schemaTable()
{
    return Table;
}

const SchemaKey *findKey(SchemaFile file, std::string_view path)
{
    const auto *found = std::find_if(Table.begin(), Table.end(), [&](const SchemaKey &key) {
        return key.file == file && key.path == path;
    });
    return found == Table.end() ? nullptr : found;
}

std::vector<const SchemaKey *> findKeys(std::string_view name)
{
    std::vector<const SchemaKey *> keys;
    for (const auto &key : Table) {
        if (key.path == name || lastName(key.path) == name) {
            keys.push_back(&key);
        }
    }
    return keys;
}

std::vector<std::string> namesBelow(SchemaFile file, std::string_view path)
{
    std::vector<std::string> names;
    for (const auto &key : Table) {
        if (key.file == file && isNameBelow(key.path, path)) {
            names.emplace_back(lastName(key.path));
        }
    }
    return names;
}

std::string_view lastName(std::string_view path)
{
    const auto dot = path.rfind('.');
    return dot == std::string_view::npos ? path : path.substr(dot + 1);
}

std::string allowedValues(const SchemaKey &key)
{
    switch (key.type) {
    case ValueType::Text:
        return "a text";
    case ValueType::Number:
        return "a whole number from " + std::to_string(key.range.least) + " to " + std::to_string(key.range.most);
    case ValueType::Choice:
        return "one of: " + join(key.choices);
    case ValueType::Address:
        return "an IPv4 address and a port, as 10.0.0.1:8000";
    case ValueType::AddressList:
        return "a list of IPv4 addresses and ports, as [10.0.0.1:9000]";
    case ValueType::Section:
        return "keys and values";
    case ValueType::List:
        return "one entry a line, each after '- '";
    }
    return "";
}

std::string nearestName(const std::string &name, const std::vector<std::string> &candidates)
{
    std::string nearest;
    std::size_t least = name.size() / 3 + 1;
    for (const auto &candidate : candidates) {
        const auto distance = editDistance(name, candidate);
        if (distance <= least && (nearest.empty() || distance < least)) {
            nearest = candidate;
            least = distance;
        }
    }
    return nearest;
}

std::string_view toName(SchemaFile file)
{
    constexpr std::array<std::string_view, 3> Names = {"base.yaml", "sites/*.yaml", "settings of a process"};
    return Names.at(static_cast<std::size_t>(file));
}
} // namespace Anvilcart
