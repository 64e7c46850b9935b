#pragma once

#include "config/configurationerror.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The allowed values of a whole number.
struct NumberRange
{
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

/// Reads the keys of one YAML mapping and collects every mistake with its line.
class YamlReader
{
public:
    /// The mistakes go to the given list, which outlives the reader.
    YamlReader(const YAML::Node &node, std::string file, std::vector<ConfigurationMistake> &mistakes);

    /// A text that must be there and not be empty.
    std::string requiredText(const std::string &key);

    /// A text, or the fallback where the key is missing.
    std::string text(const std::string &key, const std::string &fallback);

    /// A whole number in range, or the fallback where the key is missing.
    std::uint64_t number(const std::string &key, NumberRange range, std::uint64_t fallback);

    /// The mapping below a key; empty where the key is missing.
    YamlReader mapping(const std::string &key);

    /// The mappings of the list below a key; none where the key is missing.
    std::vector<YamlReader> list(const std::string &key);

    /// The texts of the list below a key; none where the key is missing.
    std::vector<std::string> texts(const std::string &key);

    /// Reports every key that was not asked for.
    void rejectUnknownKeys();

    /// Reports a mistake at the value of a key.
    void reject(const std::string &key, const std::string &what, const std::string &advice);

private:
    YAML::Node find(const std::string &key);
    void add(const YAML::Mark &mark, const std::string &what, const std::string &advice);

    YAML::Node m_node;
    std::string m_file;
    std::vector<ConfigurationMistake> &m_mistakes;
    std::vector<std::string> m_known;
};

/// Parses one file's text into a node; a syntax error becomes a mistake and gives an empty mapping.
YAML::Node parseYaml(const std::string &content, const std::string &file, std::vector<ConfigurationMistake> &mistakes);
} // namespace Anvilcart
