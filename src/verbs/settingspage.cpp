#include "verbs/settingspage.h"

#include <sstream>

namespace Anvilcart
{
namespace
{
bool holdsValue(const SchemaKey &key)
{
    return key.type != ValueType::Section && key.type != ValueType::List;
}

std::string fallbackOf(const SchemaKey &key)
{
    if (key.required) {
        return "required";
    }
    return key.fallback.empty() ? "none" : std::string(key.fallback);
}

void addRows(std::ostringstream &page, SchemaFile file)
{
    page << "\n## " << toName(file) << "\n\n| key | value | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &key : schemaTable()) {
        if (key.file == file) {
            page << "| `" << key.path << "` | " << allowedValues(key) << " | " << key.unit << " | "
                 << (holdsValue(key) ? fallbackOf(key) : "") << " | " << key.meaning << " |\n";
        }
    }
}
} // namespace

std::string keyPage(const SchemaKey &key)
{
    std::ostringstream page;
    page << key.path << " (" << toName(key.file) << ")\n  " << key.meaning << "\n  value: " << allowedValues(key) << "\n";
    if (!key.unit.empty()) {
        page << "  unit: " << key.unit << "\n";
    }
    if (holdsValue(key)) {
        page << "  default: " << fallbackOf(key) << "\n";
    }
    return page.str();
}

std::string settingsPage()
{
    std::ostringstream page;
    page << "# Settings and configuration\n\n"
         << "Printed by `anvilcart check --reference`; `anvilcart check --explain KEY` prints one key.\n"
         << "A base file and one overlay for each availability zone make one version; each process has a settings file of its own.\n";
    for (const auto file : {SchemaFile::Base, SchemaFile::Overlay, SchemaFile::Settings}) {
        addRows(page, file);
    }
    return page.str();
}
} // namespace Anvilcart
