#include "config/yamlreader.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace Anvilcart
{
namespace
{
/// What a node says, for a mistake's line.
std::string textOf(const YAML::Node &node)
{
    return node.IsScalar() ? node.Scalar() : "a structure";
}
} // namespace

YamlReader::YamlReader(const YAML::Node &node, SchemaFile schema, std::string file, std::vector<ConfigurationMistake> &mistakes)
    : m_node(node)
    , m_schema(schema)
    , m_file(std::move(file))
    , m_mistakes(mistakes)
{
    requireMapping();
}

YamlReader::YamlReader(const YAML::Node &node, const YamlReader &parent, std::string path)
    : m_node(node)
    , m_schema(parent.m_schema)
    , m_path(std::move(path))
    , m_file(parent.m_file)
    , m_mistakes(parent.m_mistakes)
{
    requireMapping();
}

std::string YamlReader::text(const std::string &key)
{
    const auto &schema = schemaOf(key);
    const auto value = find(key);
    if (value && !value.IsScalar() && !value.IsNull()) {
        rejectValue(key, value);
        return "";
    }
    auto text = value && value.IsScalar() ? value.Scalar() : std::string();
    if (text.empty() && schema.required) {
        reject(key, "'" + key + "' is missing or empty", "write " + key + ": and " + allowedValues(schema));
    }
    return text;
}

std::uint64_t YamlReader::number(const std::string &key)
{
    return number(key, std::stoull(std::string(schemaOf(key).fallback)));
}

std::uint64_t YamlReader::number(const std::string &key, std::uint64_t fallback)
{
    const auto &schema = schemaOf(key);
    const auto value = find(key);
    if (!value) {
        return fallback;
    }
    std::uint64_t number = 0;
    const bool isNumber =
        value.IsScalar() && value.Scalar().find('-') == std::string::npos && YAML::convert<std::uint64_t>::decode(value, number);
    if (!isNumber || number < schema.range.least || number > schema.range.most) {
        rejectValue(key, value);
        return fallback;
    }
    return number;
}

Endpoint YamlReader::address(const std::string &key)
{
    const auto text = this->text(key);
    const auto endpoint = parseEndpoint(text);
    if (!endpoint && !text.empty()) {
        reject(key, "'" + key + "' is " + text, "write " + allowedValues(schemaOf(key)));
    }
    return endpoint.value_or(Endpoint());
}

std::vector<Endpoint> YamlReader::addresses(const std::string &key)
{
    const auto &schema = schemaOf(key);
    const auto values = sequence(key);
    std::vector<Endpoint> endpoints;
    for (const auto &value : values) {
        if (const auto endpoint = parseEndpoint(textOf(value))) {
            endpoints.push_back(*endpoint);
        } else {
            rejectElement(key, value);
        }
    }
    if (schema.required && values.size() == 0) {
        reject(key, "'" + key + "' names no address", "write " + allowedValues(schema));
    }
    return endpoints;
}

YamlReader YamlReader::mapping(const std::string &key)
{
    const auto value = find(key);
    return {value ? value : YAML::Node(YAML::NodeType::Map), *this, pathOf(key)};
}

std::vector<YamlReader> YamlReader::list(const std::string &key)
{
    std::vector<YamlReader> readers;
    auto path = pathOf(key);
    path += "[]";
    for (const auto &element : sequence(key)) {
        readers.push_back(YamlReader(element, *this, path));
    }
    return readers;
}

void YamlReader::rejectUnknownKeys()
{
    if (!m_node.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        const auto key = textOf(entry.first);
        if (!seen.insert(key).second) {
            add(entry.first.Mark(), "the key '" + key + "' stands twice", "keep one of them");
        }
        if (findKey(m_schema, pathOf(key)) == nullptr) {
            rejectUnknownKey(entry.first, key);
        }
    }
}

void YamlReader::reject(const std::string &key, const std::string &what, const std::string &advice)
{
    const auto value = find(key);
    add(value ? value.Mark() : m_node.Mark(), what, advice);
}

const SchemaKey &YamlReader::schemaOf(const std::string &key) const
{
    const auto *schema = findKey(m_schema, pathOf(key));
    if (schema == nullptr) {
        throw std::logic_error("the schema has no key " + pathOf(key));
    }
    return *schema;
}

std::string YamlReader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

std::size_t YamlReader::choiceIndex(const std::string &key)
{
    const auto &schema = schemaOf(key);
    const auto value = find(key);
    const auto indexOf = [&](std::string_view name) {
        return std::find(schema.choices.begin(), schema.choices.end(), name) - schema.choices.begin();
    };
    if (!value) {
        return indexOf(schema.fallback);
    }
    const auto index = value.IsScalar() ? static_cast<std::size_t>(indexOf(value.Scalar())) : schema.choices.size();
    if (index == schema.choices.size()) {
        rejectValue(key, value);
        return indexOf(schema.fallback);
    }
    return index;
}

YAML::Node YamlReader::sequence(const std::string &key)
{
    const auto value = find(key);
    if (!value || value.IsNull()) {
        return YAML::Node(YAML::NodeType::Sequence);
    }
    if (!value.IsSequence()) {
        reject(key, "'" + key + "' is not a list", "write " + allowedValues(schemaOf(key)));
        return YAML::Node(YAML::NodeType::Sequence);
    }
    return value;
}

YAML::Node YamlReader::find(const std::string &key) const
{
    if (!m_node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    // Through a const reference, since yaml-cpp adds a missing key otherwise.
    return m_node[key];
}

void YamlReader::requireMapping()
{
    if (m_node.IsMap() || m_node.IsNull()) {
        return;
    }
    add(m_node.Mark(), "a mapping is expected here", "write keys and values");
    m_node = YAML::Node(YAML::NodeType::Map);
}

void YamlReader::rejectValue(const std::string &key, const YAML::Node &value)
{
    reject(key, "'" + key + "' is " + textOf(value), "write " + allowedValues(schemaOf(key)));
}

void YamlReader::rejectElement(const std::string &key, const YAML::Node &value)
{
    add(value.Mark(), "'" + key + "' holds " + textOf(value), "write " + allowedValues(schemaOf(key)));
}

void YamlReader::rejectUnknownKey(const YAML::Node &node, const std::string &key)
{
    const auto names = namesBelow(m_schema, m_path);
    std::string allowed;
    for (const auto &name : names) {
        allowed += (allowed.empty() ? "" : ", ") + name;
    }
    const auto nearest = nearestName(key, names);
    const auto advice = "allowed are: " + allowed;
    add(node.Mark(), "the key '" + key + "' is unknown here", nearest.empty() ? advice : "did you mean '" + nearest + "'? " + advice);
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
