#include "verbs/verbregistry.h"

#include <algorithm>

namespace Anvilcart
{
VerbRegistry &VerbRegistry::instance()
{
    static VerbRegistry registry;
    return registry;
}

void VerbRegistry::add(std::unique_ptr<Verb> verb)
{
    m_verbs.push_back(std::move(verb));
}

Verb *VerbRegistry::find(std::string_view name) const
{
    for (const auto &verb : m_verbs) {
        if (verb->name() == name) {
            return verb.get();
        }
    }
    return nullptr;
}

std::vector<const Verb *> VerbRegistry::all() const
{
    std::vector<const Verb *> verbs;
    for (const auto &verb : m_verbs) {
        verbs.push_back(verb.get());
    }
    std::sort(verbs.begin(), verbs.end(), [](const Verb *left, const Verb *right) {
        return left->name() < right->name();
    });
    return verbs;
}
} // namespace Anvilcart
