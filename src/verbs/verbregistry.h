#pragma once

#include "verbs/interfaces/verb.h"

#include <memory>
#include <vector>

namespace Anvilcart
{
/// All verbs, filled by static VerbRegistrar objects before main(). Read-only afterwards.
class VerbRegistry
{
public:
    static VerbRegistry &instance();

    /// Adds a verb. Precondition: called before main().
    void add(std::unique_ptr<Verb> verb);

    /// The verb of this name, or null.
    Verb *find(std::string_view name) const;

    /// All verbs in order of name.
    std::vector<const Verb *> all() const;

private:
    std::vector<std::unique_ptr<Verb>> m_verbs;
};

/// Registers verb type T from a static object.
template<typename T>
class VerbRegistrar
{
public:
    VerbRegistrar()
    {
        VerbRegistry::instance().add(std::make_unique<T>());
    }
};
} // namespace Anvilcart
