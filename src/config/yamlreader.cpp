#include "config/yamlreader.h"

#include <algorithm>

namespace Anvilcart
{
YamlReader::YamlReader(const YAML::Node &node, std::string file, std::vector<ConfigurationMistake> &mistakes)
    : m_node(node)
    , m_file(std::move(file))
    , m_mistakes(mistakes)
{
    if (!m_node.IsMap() && !m_node.IsNull()) {
        add(m_node.Mark(), "a mapping is expected here", "write keys and values");
        m_node = YAML::Node(YAML::NodeType::Map);
    }
}

std::string YamlReader::requiredText(const std::string &key)
{
    auto value = text(key, "");
    if (value.empty()) {
        reject(key, "'" + key + "' is missing or empty", "write " + key + ": TEXT");
    }
    return value;
}

std::string YamlReader::text(const std::string &key, const std::string &fallback)
{
    const auto value = find(key);
    if (!value) {
        return fallback;
    }
    if (!value.IsScalar()) {
        reject(key, "'" + key + "' is not a text", "write " + key + ": TEXT");
        return fallback;
    }
    return value.Scalar();
}

std::uint64_t YamlReader::number(const std::string &key, NumberRange range, std::uint64_t fallback)
{
    const auto value = find(key);
    if (!value) {
        return fallback;
    }
    std::uint64_t number = 0;
    const bool isNumber =
        value.IsScalar() && value.Scalar().find('-') == std::string::npos && YAML::convert<std::uint64_t>::decode(value, number);
    if (!isNumber || number < range.least || number > range.most) {
        const auto found = value.IsScalar() ? value.Scalar() : std::string("a structure");
        reject(key,
               "'" + key + "' is " + found,
               "write a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most));
        return fallback;
    }
    return number;
}

YamlReader YamlReader::mapping(const std::string &key)
{
    const auto value = find(key);
    return {value ? value : YAML::Node(YAML::NodeType::Map), m_file, m_mistakes};
}

std::vector<YamlReader> YamlReader::list(const std::string &key)
{
    std::vector<YamlReader> readers;
    const auto value = find(key);
    if (!value) {
        return readers;
    }
    if (!value.IsSequence()) {
        reject(key, "'" + key + "' is not a list", "write one entry a line, each after '- '");
        return readers;
    }
    for (const auto &element : value) {
        readers.emplace_back(element, m_file, m_mistakes);
    }
    return readers;
}

std::vector<std::string> YamlReader::texts(const std::string &key)
{
    std::vector<std::string> texts;
    const auto value = find(key);
    if (!value) {
        return texts;
    }
    if (!value.IsSequence()) {
        reject(key, "'" + key + "' is not a list", "write one entry a line, each after '- '");
        return texts;
    }
    for (const auto &element : value) {
        texts.push_back(element.IsScalar() ? element.Scalar() : std::string());
    }
    return texts;
}

void YamlReader::rejectUnknownKeys()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto &entry : m_node) {
        const auto key = entry.first.Scalar();
        if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
            std::string allowed;
            for (const auto &known : m_known) {
                allowed += (allowed.empty() ? "" : ", ") + known;
            }
            add(entry.first.Mark(), "the key '" + key + "' is unknown here", "allowed are: " + allowed);
        }
    }
}

void YamlReader::reject(const std::string &key, const std::string &what, const std::string &advice)
{
    const YAML::Node value = m_node.IsMap() ? m_node[key] : YAML::Node();
    add(value ? value.Mark() : m_node.Mark(), what, advice);
}

YAML::Node YamlReader::find(const std::string &key)
{
    m_known.push_back(key);
    if (!m_node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    const YAML::Node &readOnly = m_node;
    return readOnly[key];
}

void YamlReader::add(const YAML::Mark &mark, const std::string &what, const std::string &advice)
{
    m_mistakes.push_back({m_file, mark.line + 1, what, advice});
}

YAML::Node parseYaml(const std::string &content, const std::string &file, std::vector<ConfigurationMistake> &mistakes)
{
    try {
        auto node = YAML::Load(content);
        return node.IsNull() ? YAML::Node(YAML::NodeType::Map) : node;
    } catch (const YAML::Exception &error) {
        mistakes.push_back({file, error.mark.line + 1, "this is not valid YAML: " + error.msg, "check indentation, quotes and colons"});
        return YAML::Node(YAML::NodeType::Map);
    }
}
} // namespace Anvilcart
