#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::statement::internal {

/// @brief Parse tree in the JSON format of libpg_query.
using Json = nlohmann::json;

/// @brief Parses SQL text; returns nothing on a syntax error, or if the text exceeds 64 KB or the tree is nested too deeply.
[[nodiscard]] std::optional<Json> parseTree(const std::string& text);

/// @brief Returns the names of all functions that a tree calls, in lower case and with the schema if one is given.
[[nodiscard]] std::vector<std::string> calledFunctions(const Json& tree);

/// @brief Returns whether a tree creates or references a temporary relation.
[[nodiscard]] bool referencesTemporaryRelation(const Json& tree);

/// @brief Returns whether a tree consists only of node types that are known to modify nothing and to take no lock.
[[nodiscard]] bool isReadOnlyTree(const Json& tree);

/// @brief Returns whether a function is a control function of the upstreams.
[[nodiscard]] bool isControlFunction(std::string_view name) noexcept;

/// @brief Returns whether text that is not parsed, such as a function body, mentions a control function.
[[nodiscard]] bool mentionsControlFunction(std::string_view text);

/// @brief Returns whether a function is on the built-in list of functions that modify nothing and take no lock.
[[nodiscard]] bool isSafeFunction(std::string_view name) noexcept;

/// @brief Returns whether a function leaves state in the server session, such as an advisory lock.
[[nodiscard]] bool leavesSessionState(std::string_view name) noexcept;

}
