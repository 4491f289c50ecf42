#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/settings_error.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>
#include <yaml-cpp/yaml.h>

/// @brief Reads YAML settings against a list of the keys that a program knows.
namespace amaranthhall::kernel::settings_reader {

/// @brief Thrown by the readers below and turned into a result by read().
struct Failure {
    SettingsError error;
};

/// @brief Ends the reading with an error at a node.
[[noreturn]] void fail(const YAML::Node& node, std::string_view key, std::string problem);

/// @brief A key that a map may have, and what takes its value.
struct Key {
    std::string_view name;
    std::function<void(const YAML::Node&, const std::string& path)> read;
};

/// @brief Reads a map; a key that is not known is an error.
void readMap(const YAML::Node& node, const std::string& path, std::span<const Key> keys);

[[nodiscard]] std::string readText(const YAML::Node& node, const std::string& path);
[[nodiscard]] Address readAddress(const YAML::Node& node, const std::string& path);
[[nodiscard]] std::chrono::milliseconds readDuration(const YAML::Node& node, const std::string& path);
[[nodiscard]] double readPositive(const YAML::Node& node, const std::string& path);
[[nodiscard]] bool readBool(const YAML::Node& node, const std::string& path);
[[nodiscard]] std::string readChoice(const YAML::Node& node, const std::string& path, std::span<const std::string_view> choices);

[[nodiscard]] Key textKey(std::string_view name, std::string& target);
[[nodiscard]] Key addressKey(std::string_view name, Address& target);
[[nodiscard]] Key positiveKey(std::string_view name, double& target);
[[nodiscard]] Key nonNegativeKey(std::string_view name, double& target);
[[nodiscard]] Key boolKey(std::string_view name, bool& target);
[[nodiscard]] Key mapKey(std::string_view name, std::vector<Key> keys);

/// @brief Builds the key of a list whose items are read by a function.
template <typename Item, typename Read>
[[nodiscard]] Key listKey(std::string_view name, std::vector<Item>& target, Read read)
{
    return { name, [&target, read](const YAML::Node& node, const std::string& path) {
                if (!node.IsSequence())
                    fail(node, path, "a list is expected");
                for (const auto& item : node)
                    target.push_back(read(item, path));
            } };
}

/// @brief Ends the reading with an error if a required value is missing.
void demand(bool present, std::string_view key);

/// @brief Reads YAML text; `check` then looks at the whole.
[[nodiscard]] std::optional<SettingsError> read(std::string_view yaml, std::span<const Key> keys, const std::function<void()>& check);

/// @brief Reads a file's text.
[[nodiscard]] tl::expected<std::string, SettingsError> readFile(const std::string& file);

}
