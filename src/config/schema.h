#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart
{
/// Which file a key stands in.
enum class SchemaFile {
    Base,
    Overlay,
    Settings,
};

/// What the value of a key is.
enum class ValueType {
    Text,
    Number,
    Choice,
    Address,
    AddressList,
    Section,
    List,
};

/// The allowed values of a whole number.
struct NumberRange
{
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

/// One row of the table that drives parsing, `check --explain` and the page of settings.
struct SchemaKey
{
    SchemaFile file;
    /// The names from the top of the file, with dots; a list's entries are below its name and "[]".
    std::string_view path;
    ValueType type;
    std::string_view meaning;
    bool required = false;
    /// The value where the key is missing; empty where there is none.
    std::string_view fallback = {};
    /// For numbers.
    NumberRange range = {};
    std::string_view unit = {};
    /// For choices, in the order of their enumeration.
    std::span<const std::string_view> choices = {};
};

/// Every key of every file, in the order of the files. Thread-safe.
std::span<const SchemaKey> schemaTable();

/// The row of a key, or null. Thread-safe.
const SchemaKey *findKey(SchemaFile file, std::string_view path);

/// The rows with this path or, where it has no dot, with this last name, in every file. Thread-safe.
std::vector<const SchemaKey *> findKeys(std::string_view name);

/// The names that stand directly below a path; the top of the file for an empty one. Thread-safe.
std::vector<std::string> namesBelow(SchemaFile file, std::string_view path);

/// The last name of a path. Thread-safe.
std::string_view lastName(std::string_view path);

/// What may be written for a key, as in "a whole number from 1 to 750". Thread-safe.
std::string allowedValues(const SchemaKey &key);

/// The candidate that differs in the fewest letters, or nothing when all differ in more than a third. Thread-safe.
std::string nearestName(const std::string &name, const std::vector<std::string> &candidates);

/// The name of a kind of file, as on the page of settings. Thread-safe.
std::string_view toName(SchemaFile file);
} // namespace Anvilcart
