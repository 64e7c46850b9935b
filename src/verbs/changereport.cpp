#include "verbs/changereport.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
constexpr const char *EverywhereLabel = "everywhere";

std::string labelOf(const ZoneChanges &changes)
{
    return changes.zone.empty() ? EverywhereLabel : changes.zone;
}
} // namespace

std::string indented(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += "  " + line + "\n";
    }
    return text;
}

std::string changeReport(const std::vector<ZoneChanges> &changes)
{
    if (changes.empty()) {
        return "  none that the system acts on\n";
    }
    std::string text;
    for (const auto &zone : changes) {
        text += labelOf(zone) + "\n" + indented(zone.lines);
    }
    return text;
}

std::string changesAsJson(const std::vector<ZoneChanges> &changes)
{
    json::array list;
    for (const auto &zone : changes) {
        list.push_back(json::object {{"where", labelOf(zone)}, {"changes", json::value_from(zone.lines)}});
    }
    return json::serialize(list);
}
} // namespace Anvilcart
