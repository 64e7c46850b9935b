#pragma once

#include "config/configurationerror.h"
#include "config/schema.h"
#include "model/endpoint.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Reads the keys of one YAML mapping by the schema and collects every mistake with its line.
/// Asking for a key that the schema lacks throws std::logic_error.
class YamlReader
{
public:
    /// Reads the top of a file. The mistakes go to the given list, which outlives the reader.
    YamlReader(const YAML::Node &node, SchemaFile schema, std::string file, std::vector<ConfigurationMistake> &mistakes);

    /// A text; empty where the key is missing, which is a mistake where the key is required.
    std::string text(const std::string &key);

    /// A whole number in range, or the schema's fallback.
    std::uint64_t number(const std::string &key);

    /// A whole number in range, or the given fallback.
    std::uint64_t number(const std::string &key, std::uint64_t fallback);

    /// A choice as a value of its enumeration, or the schema's fallback.
    template<typename Enumeration>
    Enumeration choice(const std::string &key)
    {
        return static_cast<Enumeration>(choiceIndex(key));
    }

    /// An address with its port; empty after a mistake.
    Endpoint address(const std::string &key);

    /// Addresses with their ports; without the mistaken ones.
    std::vector<Endpoint> addresses(const std::string &key);

    /// The mapping below a key; empty where the key is missing.
    YamlReader mapping(const std::string &key);

    /// The mappings of the list below a key; none where the key is missing.
    std::vector<YamlReader> list(const std::string &key);

    /// Reports every key that the schema lacks here, and every key that stands twice.
    void rejectUnknownKeys();

    /// Reports a mistake at the value of a key.
    void reject(const std::string &key, const std::string &what, const std::string &advice);

private:
    YamlReader(const YAML::Node &node, const YamlReader &parent, std::string path);

    const SchemaKey &schemaOf(const std::string &key) const;
    std::string pathOf(const std::string &key) const;
    std::size_t choiceIndex(const std::string &key);
    YAML::Node sequence(const std::string &key);
    YAML::Node find(const std::string &key) const;
    void requireMapping();
    void rejectValue(const std::string &key, const YAML::Node &value);
    void rejectElement(const std::string &key, const YAML::Node &value);
    void rejectUnknownKey(const YAML::Node &node, const std::string &key);
    void add(const YAML::Mark &mark, const std::string &what, const std::string &advice);

    YAML::Node m_node;
    SchemaFile m_schema;
    std::string m_path;
    std::string m_file;
    std::vector<ConfigurationMistake> &m_mistakes;
};

/// Parses one file's text into a node; a syntax error becomes a mistake and gives an empty mapping.
YAML::Node parseYaml(const std::string &content, const std::string &file, std::vector<ConfigurationMistake> &mistakes);
} // namespace Anvilcart
